//! Validates a whole catalog. A catalog with findings is not published.
//!
//! [`accounts`] checks client accounts, [`serving`] models, versions, cascades, rollouts and
//! withdrawals, and [`upstreams`] regions, pools, services and drains.

mod accounts;
mod serving;
mod upstreams;

pub(super) use accounts::accounts_stranded_by;

use crate::catalog::objects::Catalog;
use crate::catalog::place::{CatalogFinding, FindingCollector, PlaceIndex};

/// Checks the references between objects and the ranges of all fields.
///
/// ```
/// use oleander_core::catalog::check::check_catalog;
/// use oleander_core::catalog::objects::Catalog;
///
/// assert!(check_catalog(&Catalog::default(), &Default::default()).is_empty());
/// ```
#[must_use]
pub fn check_catalog(catalog: &Catalog, places: &PlaceIndex) -> Vec<CatalogFinding> {
    let mut collector = FindingCollector::new(places);
    upstreams::check_regions(catalog, &mut collector);
    upstreams::check_pools(catalog, &mut collector);
    upstreams::check_services(catalog, &mut collector);
    upstreams::check_drains(catalog, &mut collector);
    serving::check_models(catalog, &mut collector);
    serving::check_versions(catalog, &mut collector);
    serving::check_cascades(catalog, &mut collector);
    serving::check_rollouts(catalog, &mut collector);
    serving::check_withdrawals(catalog, &mut collector);
    accounts::check_accounts(catalog, &mut collector);
    check_policy(catalog, &mut collector);
    collector.finish()
}

/// Reports a share outside 0 to 1.
fn check_share(collector: &mut FindingCollector<'_>, path: &str, share: f64) {
    if !(0.0..=1.0).contains(&share) {
        collector.add(
            path,
            format!("{share} is outside the range from 0 to 1"),
            "use a number from 0 to 1",
        );
    }
}

fn check_policy(catalog: &Catalog, collector: &mut FindingCollector<'_>) {
    let policy = &catalog.policy;
    check_share(collector, "policy/exploration", policy.exploration);
    check_share(collector, "policy/unrated_share", policy.unrated_share);
    check_share(collector, "policy/rating_drop", policy.rating_drop);
    check_share(collector, "policy/ejection_share", policy.ejection_share);
    if policy.rating_drop == 0.0 {
        let problem = "a rating drop of 0 would be detected in all ratings";
        collector.add("policy/rating_drop", problem, "use a number above 0");
    }
    if policy.false_alarm_ratings == 0 {
        let problem = "0 ratings between false alarms would withdraw every version";
        collector.add("policy/false_alarm_ratings", problem, "use at least 1");
    }
    if policy.cut_off_after.get() == 0 {
        let problem = "with 0 milliseconds every host would always be cut off";
        collector.add("policy/cut_off_after", problem, "use at least 1000 milliseconds");
    }
}
