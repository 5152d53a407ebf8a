//! Checks of client accounts.

use crate::catalog::check::serving::check_version_of;
use crate::catalog::objects::{AllowRule, Catalog, ClientAccount};
use crate::catalog::place::FindingCollector;
use crate::ids::{AccountName, VersionName};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

/// Length of a SHA-256 digest in hex digits.
const DIGEST_HEX_DIGITS: usize = 64;

/// Checks keys, rates, services and models of every client account.
pub(super) fn check_accounts(catalog: &Catalog, collector: &mut FindingCollector<'_>) {
    let mut owners: HashMap<&Arc<str>, &AccountName> = HashMap::new();
    for (name, account) in &catalog.client_accounts {
        let path = format!("client_accounts/{name}");
        check_rates(account, &path, collector);
        check_keys(name, account, &mut owners, &path, collector);
        check_account_services(catalog, account, &path, collector);
        check_rules(catalog, name, account, &path, collector);
    }
}

fn check_rates(account: &ClientAccount, path: &str, collector: &mut FindingCollector<'_>) {
    let rate = account.requests_per_second;
    if !rate.is_finite() || rate <= 0.0 {
        let field = format!("{path}/requests_per_second");
        collector.add(&field, format!("a rate of {rate} admits no requests"), "use a rate above 0");
    }
    if account.burst == 0 {
        let field = format!("{path}/burst");
        collector.add(&field, "a burst of 0 admits no requests", "use at least 1");
    }
    if account.weight == 0 {
        let field = format!("{path}/weight");
        collector.add(&field, "a weight of 0 starves the account", "use at least 1");
    }
}

fn check_keys<'c>(
    name: &'c AccountName,
    account: &'c ClientAccount,
    owners: &mut HashMap<&'c Arc<str>, &'c AccountName>,
    path: &str,
    collector: &mut FindingCollector<'_>,
) {
    if account.key_digests.is_empty() {
        let advice = "add the SHA-256 digest of a bearer key";
        collector.add(path, "the account has no key digests", advice);
    }
    for (index, digest) in account.key_digests.iter().enumerate() {
        let field = format!("{path}/key_digests/{index}");
        let hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if digest.len() != DIGEST_HEX_DIGITS || !digest.bytes().all(hex) {
            let advice = "write the SHA-256 digest as 64 lower-case hex digits";
            collector.add(&field, "the key digest is not a SHA-256 digest in hex", advice);
        }
        if let Some(owner) = owners.insert(digest, name) {
            let problem = format!("the key already belongs to the client account {owner}");
            collector.add(&field, problem, "list each key once, in one client account");
        }
    }
}

fn check_account_services(
    catalog: &Catalog,
    account: &ClientAccount,
    path: &str,
    collector: &mut FindingCollector<'_>,
) {
    for (index, service) in account.services.iter().enumerate() {
        if !catalog.services.contains_key(service) {
            let field = format!("{path}/services/{index}");
            collector.add_missing(&field, "services", "service", service);
        }
    }
}

fn check_rules(
    catalog: &Catalog,
    name: &AccountName,
    account: &ClientAccount,
    path: &str,
    collector: &mut FindingCollector<'_>,
) {
    let mut models = HashSet::new();
    for (index, rule) in account.allow.iter().enumerate() {
        let field = format!("{path}/allow/{index}");
        if !catalog.models.contains_key(&rule.model) {
            collector.add_missing(&field, "models", "model", &rule.model);
            continue;
        }
        if !models.insert(&rule.model) {
            let problem = format!("the model {} has two rules", rule.model);
            collector.add(&field, problem, "merge the two rules");
        }
        check_rule_versions(catalog, rule, &field, collector);
        check_rule_has_version(catalog, name, rule, &field, collector);
    }
}

fn check_rule_versions(
    catalog: &Catalog,
    rule: &AllowRule,
    field: &str,
    collector: &mut FindingCollector<'_>,
) {
    for (index, version) in rule.versions.iter().flatten().enumerate() {
        let field = format!("{field}/versions/{index}");
        check_version_of(catalog, version, &rule.model, &field, collector);
    }
}

/// Reports an account without any remaining version of a model that it names, unless a withdrawal
/// lists the account as stranded.
fn check_rule_has_version(
    catalog: &Catalog,
    name: &AccountName,
    rule: &AllowRule,
    field: &str,
    collector: &mut FindingCollector<'_>,
) {
    let withdrawn = |version: &&VersionName| catalog.withdrawals.contains_key(*version);
    let versions = versions_of_rule(catalog, rule);
    if versions.iter().any(|version| !withdrawn(version)) {
        return;
    }
    let lists_account = |version: &&VersionName| {
        catalog.withdrawals.get(*version).is_some_and(|w| w.stranded_accounts.contains(name))
    };
    if !versions.is_empty() && versions.iter().any(lists_account) {
        return;
    }
    let problem = format!("the account has no usable version of {}", rule.model);
    let advice = "allow a version that is not withdrawn, or name the account in \
                  stranded_accounts of the withdrawal";
    collector.add(field, problem, advice);
}

/// The existing versions that a rule allows, including withdrawn ones.
fn versions_of_rule<'c>(catalog: &'c Catalog, rule: &AllowRule) -> Vec<&'c VersionName> {
    let named = |version: &VersionName| rule.versions.as_ref().is_none_or(|v| v.contains(version));
    let versions = catalog.versions.iter();
    let allowed = versions.filter(|(name, object)| object.model == rule.model && named(name));
    allowed.map(|(name, _)| name).collect()
}

/// The accounts that would have no version of the model left if `version` were withdrawn.
#[must_use]
pub(in crate::catalog) fn accounts_stranded_by(
    catalog: &Catalog,
    version: &VersionName,
) -> Vec<AccountName> {
    let Some(object) = catalog.versions.get(version) else { return Vec::new() };
    let remains =
        |other: &&VersionName| *other != version && !catalog.withdrawals.contains_key(*other);
    let strands = |rule: &AllowRule| {
        rule.model == object.model && !versions_of_rule(catalog, rule).iter().any(remains)
    };
    let accounts = catalog.client_accounts.iter();
    let stranded = accounts.filter(|(_, account)| account.allow.iter().any(strands));
    stranded.map(|(name, _)| name.clone()).collect()
}
