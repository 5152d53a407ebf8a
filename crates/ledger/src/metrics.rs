//! Metrics of a ledger.

use oleander_core::claim::ClaimOutcome;
use oleander_ports::claims::ClaimError;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Label of claims by outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabel {
    /// `granted`, `held`, `done`, `outcome_unknown`, `key_reused` or `failed`.
    pub outcome: &'static str,
}

/// Counters and gauges of one ledger.
#[derive(Clone, Debug, Default)]
pub struct LedgerMetrics {
    /// Size of the records that are held and not yet in the table, in bytes.
    pub backlog_bytes: Gauge,
    /// Records accepted.
    pub records: Counter,
    /// Records refused because the backlog was full.
    pub records_full: Counter,
    /// Records refused because neither a second failure domain nor the table could be reached.
    pub records_not_held: Counter,
    /// Groups replicated to another failure domain.
    pub groups: Counter,
    /// Runs written to the table.
    pub flushes: Counter,
    /// Transactions used to write runs.
    pub flush_transactions: Counter,
    /// Failed attempts to write a run.
    pub flush_failures: Counter,
    /// Runs copied to another ledger because their previous copy was lost.
    pub recopies: Counter,
    /// Windows folded into sums.
    pub folds: Counter,
    /// Claims by outcome.
    pub claims: Family<OutcomeLabel, Counter>,
}

impl LedgerMetrics {
    /// Metrics with all values at zero.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// A registry with all metrics.
    #[must_use]
    pub fn to_registry(&self) -> Registry {
        let mut registry = Registry::with_prefix("oleander_ledger");
        let gauge = self.backlog_bytes.clone();
        registry.register("backlog_bytes", "Bytes held and not in the table", gauge);
        let counters = [
            ("records", "Records taken", &self.records),
            ("records_full", "Records refused at the bound", &self.records_full),
            ("records_not_held", "Records refused as not held", &self.records_not_held),
            ("groups", "Groups replicated", &self.groups),
            ("flushes", "Runs written", &self.flushes),
            ("flush_transactions", "Transactions of runs", &self.flush_transactions),
            ("flush_failures", "Failed writes of runs", &self.flush_failures),
            ("recopies", "Runs copied again", &self.recopies),
            ("folds", "Windows folded", &self.folds),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        registry.register("claims", "Claims by outcome", self.claims.clone());
        registry
    }

    /// Counts a claim by its outcome.
    pub fn record_claim(&self, result: &Result<ClaimOutcome, ClaimError>) {
        let outcome = match result {
            Ok(ClaimOutcome::Granted) => "granted",
            Ok(ClaimOutcome::Held { .. }) => "held",
            Ok(ClaimOutcome::Done(_)) => "done",
            Ok(ClaimOutcome::OutcomeUnknown) => "outcome_unknown",
            Ok(ClaimOutcome::KeyReused) => "key_reused",
            Err(_) => "failed",
        };
        self.claims.get_or_create(&OutcomeLabel { outcome }).inc();
    }
}
