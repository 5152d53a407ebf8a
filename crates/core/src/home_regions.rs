//! Regions in which a request may be served.
//!
//! Operators bind routes and client accounts to home regions, for example since the law of a region forbids to
//! process its data elsewhere. Where route and account both have homes, both bind. The rule goes before load: when all
//! upstreams in the homes are full or gone, the request is refused although others have room.

use crate::ids::RegionName;
use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

/// The regions in which a request may be served; any region by default.
///
/// ```
/// use oleander_core::home_regions::HomeRegions;
///
/// let homes = |names: &[&str]| HomeRegions::new(names.iter().map(|name| name.parse().unwrap()));
/// let puget = "puget".parse().unwrap();
/// assert!(homes(&[]).permits(None));
/// assert!(homes(&["puget", "inland"]).permits(Some(&puget)));
/// assert!(!homes(&["inland"]).permits(Some(&puget)));
/// let both = homes(&["puget", "inland"]).and(&homes(&["inland"]));
/// assert_eq!(both.to_string(), "inland");
/// assert!(!homes(&["puget"]).and(&homes(&["inland"])).permits(Some(&puget)));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HomeRegions(Option<Arc<BTreeSet<RegionName>>>);

impl HomeRegions {
    /// Permits any region.
    #[must_use]
    pub const fn any() -> Self {
        Self(None)
    }

    /// Permits these regions; any region if there are none.
    #[must_use]
    pub fn new(regions: impl IntoIterator<Item = RegionName>) -> Self {
        let regions: BTreeSet<RegionName> = regions.into_iter().collect();
        Self((!regions.is_empty()).then(|| Arc::new(regions)))
    }

    /// The regions that both permit; none if they have no region in common.
    #[must_use]
    pub fn and(&self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (Some(mine), Some(theirs)) => {
                Self(Some(Arc::new(mine.intersection(theirs).cloned().collect())))
            }
            (regions, None) | (None, regions) => Self(regions.clone()),
        }
    }

    /// Whether any region is permitted.
    #[must_use]
    pub const fn is_any(&self) -> bool {
        self.0.is_none()
    }

    /// Whether a region is permitted; an unknown one is no home.
    #[must_use]
    pub fn permits(&self, region: Option<&RegionName>) -> bool {
        self.permits_where(|home| region == Some(home))
    }

    /// Whether any region is permitted, or one for which `is_there` holds.
    #[must_use]
    pub fn permits_where(&self, is_there: impl Fn(&RegionName) -> bool) -> bool {
        self.0.as_ref().is_none_or(|regions| regions.iter().any(is_there))
    }
}

impl fmt::Display for HomeRegions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            None => f.pad("any"),
            Some(regions) => {
                let names: Vec<&str> = regions.iter().map(RegionName::as_str).collect();
                f.pad(&names.join(", "))
            }
        }
    }
}
