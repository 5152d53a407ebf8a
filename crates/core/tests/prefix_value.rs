//! Estimates of what upstreams have cached, without a network.

use oleander_core::prefix_value::{
    PrefixDemand, PrefixUse, PromptPrefix, SentPrefixes, UpstreamMemory,
};
use oleander_core::units::{Timestamp, TokenCount};
use std::time::Duration;

const SHARED: u32 = 5_382;

fn prefix(subject: usize) -> PromptPrefix {
    let subject = format!("subject-{subject}");
    PromptPrefix::new("small", [("system", 512), (subject.as_str(), SHARED - 512)])
}

fn memory() -> UpstreamMemory {
    let up_for = Duration::from_secs(600);
    UpstreamMemory { capacity: 600_000, running: 100_000.0, read_rate: 100_000.0, up_for }
}

/// Ten seconds of a host with 1.2 requests a second; `subject` of the nth.
fn demand(subject: impl Fn(usize) -> usize) -> (PrefixDemand, Timestamp) {
    let mut demand = PrefixDemand::new();
    let mut now = Timestamp::from_millis(1_000);
    for n in 0..12 {
        now = now + Duration::from_millis(830);
        demand.record(&prefix(subject(n)), TokenCount::new(12_000), now);
    }
    (demand, now)
}

fn kept(demand: &(PrefixDemand, Timestamp), place: usize, memory: &UpstreamMemory) -> u32 {
    let (demand, now) = demand;
    let prefix_use = PrefixUse::new(&prefix(0), demand, 75, 60, *now);
    prefix_use.kept_tokens(place, &SentPrefixes::default(), memory, *now).get()
}

/// Guards against prefixes that all hosts share and each believes to be lost, since one host sees a
/// request in 15 s; against prefixes that occur once and are sought; and against the first
/// upstreams of the order that count like any other.
#[test]
fn what_other_hosts_send_is_estimated() {
    let hot = demand(|n| n % 3);
    let once = demand(|n| n);
    assert!(kept(&hot, 0, &memory()) > 5_000, "{}", kept(&hot, 0, &memory()));
    let system = 512;
    assert!(kept(&hot, 30, &memory()) <= system, "{}", kept(&hot, 30, &memory()));
    let unseen = PrefixUse::new(&prefix(99), &once.0, 75, 60, once.1);
    let unseen = unseen.kept_tokens(0, &SentPrefixes::default(), &memory(), once.1).get();
    assert!(unseen < SHARED / 4, "{unseen}");
}

/// Guards against counting on prefixes that were evicted: an upstream keeps less the more it reads and
/// runs, and nothing from before its start.
#[test]
fn evicted_prefixes_do_not_count() {
    let (one, now) = demand(|n| n);
    let prefix_use = PrefixUse::new(&prefix(99), &one, 1, 60, now);
    let mut sent = SentPrefixes::default();
    sent.record(&prefix(99), now);
    let after = |seconds: u64, memory: &UpstreamMemory| {
        prefix_use.kept_tokens(9, &sent, memory, now + Duration::from_secs(seconds)).get()
    };
    assert_eq!(after(1, &memory()), SHARED);
    assert!(after(6, &memory()) <= 512, "{}", after(6, &memory()));
    let busy = UpstreamMemory { running: 590_000.0, ..memory() };
    assert!(after(1, &busy) <= 512, "{}", after(1, &busy));
    let restarted = UpstreamMemory { up_for: Duration::from_millis(500), ..memory() };
    assert!(after(1, &restarted) <= 512, "{}", after(1, &restarted));
}

/// Guards against a part that counts without those before it, or for another model.
#[test]
fn a_part_counts_with_those_before_it() {
    let (one, now) = demand(|n| n);
    let mut sent = SentPrefixes::default();
    sent.record(&prefix(99), now);
    let kept = |prefix: &PromptPrefix| {
        PrefixUse::new(prefix, &one, 1, 60, now).kept_tokens(9, &sent, &memory(), now).get()
    };
    let tail = SHARED - 512;
    assert!(kept(&PromptPrefix::new("small", [("other", 512), ("subject-99", tail)])) < 100);
    assert!(kept(&PromptPrefix::new("large", [("system", 512), ("subject-99", tail)])) < 100);
}
