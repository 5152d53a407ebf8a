//! Checks a configuration before it is sent, and compares it with the one in force.
//!
//! Errors make requests fail that the configuration seems to allow. Warnings name entries that can never match
//! and limits that contradict each other: requests are served, but not as the text suggests.

use crate::configuration_draft::ConfigurationDraft;
use crate::routes::{AccountSpec, Route, ServiceSpec};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

/// How much a finding matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FindingLevel {
    /// Requests fail.
    Error,
    /// An entry has no effect, or not the one that it seems to have.
    Warning,
    /// What differs from the configuration in force.
    Change,
}

impl fmt::Display for FindingLevel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Error => "error",
            Self::Warning => "warning",
            Self::Change => "change",
        })
    }
}

/// The entry that a finding is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CheckSubject {
    /// The configuration as a whole.
    Configuration,
    /// The limits on callers.
    Limits,
    /// A route, by name.
    Route(Arc<str>),
    /// A service, by name.
    Service(Arc<str>),
    /// A client account, by name.
    Account(Arc<str>),
}

impl fmt::Display for CheckSubject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Configuration => f.pad("configuration"),
            Self::Limits => f.pad("limits"),
            Self::Route(name) => write!(f, "route {name}"),
            Self::Service(name) => write!(f, "service {name}"),
            Self::Account(name) => write!(f, "client account {name}"),
        }
    }
}

/// Something to know before a configuration is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CheckFinding {
    /// How much it matters.
    pub level: FindingLevel,
    /// What it is about.
    pub subject: CheckSubject,
    /// What was found.
    pub text: String,
}

impl fmt::Display for CheckFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.level, self.subject, self.text)
    }
}

/// Collects findings.
#[derive(Default)]
struct FindingList(Vec<CheckFinding>);

impl FindingList {
    fn add(&mut self, level: FindingLevel, subject: &CheckSubject, text: impl Into<String>) {
        let (subject, text) = (subject.clone(), text.into());
        self.0.push(CheckFinding { level, subject, text });
    }

    fn error(&mut self, subject: &CheckSubject, text: impl Into<String>) {
        self.add(FindingLevel::Error, subject, text);
    }

    fn warn(&mut self, subject: &CheckSubject, text: impl Into<String>) {
        self.add(FindingLevel::Warning, subject, text);
    }

    fn change(&mut self, subject: &CheckSubject, text: impl Into<String>) {
        self.add(FindingLevel::Change, subject, text);
    }
}

/// All findings about a configuration, in the order of its parts.
///
/// ```
/// use oleander_gateway::configuration_check::check_configuration;
/// use oleander_gateway::configuration_draft::ConfigurationDraft;
///
/// let findings = check_configuration(&ConfigurationDraft::default());
/// assert_eq!(findings[0].to_string(), "error: configuration: it has no routes");
/// ```
#[must_use]
pub fn check_configuration(draft: &ConfigurationDraft) -> Vec<CheckFinding> {
    let mut findings = FindingList::default();
    if draft.routes.is_empty() {
        findings.error(&CheckSubject::Configuration, "it has no routes");
    }
    check_names(draft, &mut findings);
    for (index, route) in draft.routes.iter().enumerate() {
        check_route(route, draft, &mut findings);
        check_match(route, &draft.routes[..index], &mut findings);
    }
    for service in &draft.services {
        check_service(service, draft, &mut findings);
    }
    check_accounts(draft, &mut findings);
    check_limits(draft, &mut findings);
    findings.0
}

fn check_names(draft: &ConfigurationDraft, findings: &mut FindingList) {
    let repeated = |names: Vec<Arc<str>>| -> BTreeSet<Arc<str>> {
        let mut seen = BTreeSet::new();
        names.into_iter().filter(|name| !seen.insert(Arc::clone(name))).collect()
    };
    for name in repeated(draft.routes.iter().map(|route| Arc::clone(&route.name)).collect()) {
        findings.error(&CheckSubject::Route(name), "its name stands for several routes");
    }
    for name in repeated(draft.services.iter().map(service_name).collect()) {
        let text = "it is listed several times, and the last entry counts";
        findings.warn(&CheckSubject::Service(name), text);
    }
    for name in repeated(draft.accounts.iter().map(|(spec, _)| Arc::clone(&spec.name)).collect()) {
        findings.warn(&CheckSubject::Account(name), "it is listed several times");
    }
}

fn service_name(service: &ServiceSpec) -> Arc<str> {
    Arc::from(service.name.as_str())
}

fn check_route(route: &Route, draft: &ConfigurationDraft, findings: &mut FindingList) {
    let subject = CheckSubject::Route(Arc::clone(&route.name));
    if !(route.prefix.starts_with('/') && route.prefix.ends_with('/')) {
        let text = format!("expected a prefix between slashes, found {:?}", route.prefix);
        findings.error(&subject, text);
    }
    if route.host.is_empty() || route.host.contains(':') {
        let text = format!("host {:?} never matches: it needs a name without a port", route.host);
        findings.warn(&subject, text);
    }
    check_targets(route, draft, &subject, findings);
    if route.timeout.is_zero() {
        findings.error(&subject, "its timeout is 0, so every request is refused");
    }
    if route.latency_target > route.timeout {
        let (target, timeout) = (route.latency_target, route.timeout);
        findings.warn(
            &subject,
            format!("its latency target {target:?} exceeds its timeout {timeout:?}"),
        );
    }
    if let Some(gap) = route.max_event_gap.filter(|gap| *gap > route.timeout) {
        let timeout = route.timeout;
        findings.warn(&subject, format!("its event gap {gap:?} exceeds its timeout {timeout:?}"));
    }
    if route.max_attempts > 1 && !route.retry_policy.allows_retry() {
        let text = format!(
            "{} attempts have no effect, since its requests run once at most",
            route.max_attempts
        );
        findings.warn(&subject, text);
    }
    check_homes(route, draft, &subject, findings);
}

fn check_targets(
    route: &Route,
    draft: &ConfigurationDraft,
    subject: &CheckSubject,
    findings: &mut FindingList,
) {
    if route.targets.iter().all(|target| target.weight == 0) {
        findings.error(subject, "it names no service with a weight above 0");
    }
    for target in &route.targets {
        let name = &target.service;
        let Some(service) = draft.services.iter().find(|service| service.name == *name) else {
            findings.error(subject, format!("service {name} is not listed"));
            continue;
        };
        if target.weight == 0 && route.targets.len() > 1 {
            findings.warn(subject, format!("service {name} has weight 0 and gets no requests"));
        }
        let is_known = |model: &&Arc<str>| service.models.iter().any(|known| known.name == **model);
        for model in route.models.iter().filter(|model| !is_known(model)) {
            findings.error(subject, format!("service {name} has no model {model}"));
        }
        let warm_up = service.warm_up.filter(|warm_up| warm_up.duration > route.timeout);
        if let Some(warm_up) = warm_up {
            let text = format!(
                "its timeout {:?} is shorter than the {:?} for which upstreams of service {name} are cold",
                route.timeout, warm_up.duration
            );
            findings.warn(subject, text);
        }
    }
}

fn check_homes(
    route: &Route,
    draft: &ConfigurationDraft,
    subject: &CheckSubject,
    findings: &mut FindingList,
) {
    if route.public || route.home_regions.is_any() {
        return;
    }
    let excluded = draft.accounts.iter().filter(|(account, _)| {
        let homes = route.home_regions.and(&account.home_regions);
        !homes.permits_where(|_| true)
    });
    for (account, _) in excluded {
        let text = format!(
            "requests of client account {} are always refused: its home regions are {}, those of the route {}",
            account.name, account.home_regions, route.home_regions
        );
        findings.warn(subject, text);
    }
}

/// Reports a route that an earlier one hides: of routes with the same prefix the first one counts.
fn check_match(route: &Route, earlier: &[Route], findings: &mut FindingList) {
    let hides = |other: &&Route| other.host == route.host && other.prefix == route.prefix;
    if let Some(other) = earlier.iter().find(hides) {
        let subject = CheckSubject::Route(Arc::clone(&route.name));
        let text = format!("it never matches, since route {} has its host and prefix", other.name);
        findings.error(&subject, text);
    }
}

fn check_service(service: &ServiceSpec, draft: &ConfigurationDraft, findings: &mut FindingList) {
    let subject = CheckSubject::Service(service_name(service));
    let mut targets = draft.routes.iter().flat_map(|route| &route.targets);
    if !targets.any(|target| target.service == service.name && target.weight > 0) {
        findings.warn(&subject, "no route sends it requests");
    }
}

fn check_accounts(draft: &ConfigurationDraft, findings: &mut FindingList) {
    let mut holders: BTreeMap<&Arc<str>, &Arc<str>> = BTreeMap::new();
    for (account, keys) in &draft.accounts {
        let subject = CheckSubject::Account(Arc::clone(&account.name));
        if keys.is_empty() {
            findings.warn(&subject, "it has no key, so no request is counted as its own");
        }
        for key in keys {
            if let Some(other) =
                holders.insert(key, &account.name).filter(|other| **other != account.name)
            {
                findings.error(&subject, format!("client account {other} has one of its keys"));
            }
            if key.trim() != &**key || key.is_empty() {
                findings.warn(
                    &subject,
                    "one of its keys is empty or has blanks around it, and never matches",
                );
            }
        }
    }
    let needs_key = draft.routes.iter().filter(|route| !route.public).count();
    if needs_key > 0 && draft.accounts.is_empty() {
        let text = format!("no request needs a key, although {needs_key} routes are not public");
        findings.warn(&CheckSubject::Configuration, text);
    }
}

fn check_limits(draft: &ConfigurationDraft, findings: &mut FindingList) {
    let Some(limits) = &draft.limits else { return };
    let subject = CheckSubject::Limits;
    if limits.max_head_bytes == 0 || limits.head_timeout.is_zero() || limits.idle_timeout.is_zero()
    {
        findings.error(&subject, "a limit of 0 refuses every request");
    }
    if limits.idle_timeout < limits.head_timeout {
        let (idle, head) = (limits.idle_timeout, limits.head_timeout);
        let text = format!(
            "idle connections close after {idle:?}, before headers may be complete ({head:?})"
        );
        findings.warn(&subject, text);
    }
    let shortest = draft.routes.iter().map(|route| route.timeout).min().unwrap_or_default();
    if limits.head_timeout > shortest && !shortest.is_zero() {
        let head = limits.head_timeout;
        let text = format!(
            "headers may take {head:?}, longer than the shortest route's timeout {shortest:?}"
        );
        findings.warn(&subject, text);
    }
}

/// What differs between the configuration in force and a new one. Keys are counted, not shown.
#[must_use]
pub fn compare_configurations(
    current: &ConfigurationDraft,
    draft: &ConfigurationDraft,
) -> Vec<CheckFinding> {
    let mut findings = FindingList::default();
    if draft.version <= current.version {
        let text = format!(
            "version {} is not above {}, which is in force, and would be ignored",
            draft.version, current.version
        );
        findings.error(&CheckSubject::Configuration, text);
    }
    compare(
        &current.routes,
        &draft.routes,
        |route| CheckSubject::Route(Arc::clone(&route.name)),
        route_changes,
        &mut findings,
    );
    compare(
        &current.services,
        &draft.services,
        |service| CheckSubject::Service(service_name(service)),
        service_changes,
        &mut findings,
    );
    compare(
        &current.accounts,
        &draft.accounts,
        |(account, _)| CheckSubject::Account(Arc::clone(&account.name)),
        account_changes,
        &mut findings,
    );
    if current.limits != draft.limits {
        findings.change(&CheckSubject::Limits, "changed");
    }
    findings.0
}

/// Compares entries by what they are about.
fn compare<T>(
    current: &[T],
    new: &[T],
    subject_of: impl Fn(&T) -> CheckSubject,
    changes: impl Fn(&T, &T) -> Vec<String>,
    findings: &mut FindingList,
) {
    let by_subject = |entries| -> BTreeMap<CheckSubject, &T> {
        let entries: &[T] = entries;
        entries.iter().map(|entry| (subject_of(entry), entry)).collect()
    };
    let (current, new) = (by_subject(current), by_subject(new));
    for subject in current.keys().filter(|subject| !new.contains_key(subject)) {
        findings.change(subject, "removed");
    }
    for (subject, entry) in &new {
        match current.get(subject) {
            None => findings.change(subject, "added"),
            Some(before) => {
                let changes = changes(before, entry);
                changes.into_iter().for_each(|text| findings.change(subject, text));
            }
        }
    }
}

fn changed(name: &str, before: &impl fmt::Debug, after: &impl fmt::Debug) -> Option<String> {
    let (before, after) = (format!("{before:?}"), format!("{after:?}"));
    (before != after).then(|| format!("{name} {before} becomes {after}"))
}

fn route_changes(before: &Route, after: &Route) -> Vec<String> {
    let targets = |route: &Route| -> Vec<String> {
        let parts = route.targets.iter();
        parts.map(|target| format!("{} {}", target.service, target.weight)).collect()
    };
    let homes = |route: &Route| route.home_regions.to_string();
    [
        changed("host", &before.host, &after.host),
        changed("prefix", &before.prefix, &after.prefix),
        changed("retry policy", &before.retry_policy, &after.retry_policy),
        changed("timeout", &before.timeout, &after.timeout),
        changed("latency target", &before.latency_target, &after.latency_target),
        changed("priority", &before.priority, &after.priority),
        changed("models", &before.models, &after.models),
        changed("services", &targets(before), &targets(after)),
        changed("attempts", &before.max_attempts, &after.max_attempts),
        changed("public", &before.public, &after.public),
        changed("event gap", &before.max_event_gap, &after.max_event_gap),
        changed("home regions", &homes(before), &homes(after)),
    ]
    .into_iter()
    .flatten()
    .collect()
}

fn service_changes(before: &ServiceSpec, after: &ServiceSpec) -> Vec<String> {
    let models = |service: &ServiceSpec| -> Vec<String> {
        service.models.iter().map(|model| format!("{} {}", model.name, model.cost)).collect()
    };
    let warm_up = |service: &ServiceSpec| {
        let text = service
            .warm_up
            .map(|warm_up| format!("{:?} at {} a second", warm_up.duration, warm_up.rate));
        text.unwrap_or_else(|| "none".to_owned())
    };
    [
        changed("models", &models(before), &models(after)),
        changed("warm-up", &warm_up(before), &warm_up(after)),
        changed("memory in tokens", &before.memory_tokens, &after.memory_tokens),
    ]
    .into_iter()
    .flatten()
    .collect()
}

fn account_changes(
    (before, keys_before): &(AccountSpec, Vec<Arc<str>>),
    (after, keys_after): &(AccountSpec, Vec<Arc<str>>),
) -> Vec<String> {
    let missing = |keys: &[Arc<str>], others: &[Arc<str>]| {
        keys.iter().filter(|key| !others.contains(key)).count()
    };
    let keys = |count: usize, verb: &str| (count > 0).then(|| format!("keys {verb}: {count}"));
    let homes = |account: &AccountSpec| account.home_regions.to_string();
    [
        changed("priority", &before.priority, &after.priority),
        changed("home regions", &homes(before), &homes(after)),
        keys(missing(keys_before, keys_after), "removed"),
        keys(missing(keys_after, keys_before), "added"),
    ]
    .into_iter()
    .flatten()
    .collect()
}
