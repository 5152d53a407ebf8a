//! Retry actions, `traceparent` parsing and attempt timeouts.

use oleander_core::attempt_retry::{FaultKind, RetryAction, retry_action};
use oleander_core::attempt_timeouts::{AttemptTimeouts, MIN_FIRST_BYTE_TIMEOUT};
use oleander_core::trace_context::TraceContext;
use oleander_core::units::Millis;
use std::time::Duration;
use yare::parameterized;

#[parameterized(
    connect = { FaultKind::Connect, false, RetryAction::OtherUpstream },
    lost_once = { FaultKind::Lost, false, RetryAction::SameUpstream },
    lost_twice = { FaultKind::Lost, true, RetryAction::OtherUpstream },
    silent_once = { FaultKind::Silent, false, RetryAction::SameUpstream },
    full = { FaultKind::NotRun, false, RetryAction::OtherUpstream },
    wrong = { FaultKind::Wrong, false, RetryAction::OtherUpstream },
    cut = { FaultKind::Cut, false, RetryAction::OtherUpstream },
    rejected = { FaultKind::Rejected, false, RetryAction::Stop },
)]
fn fault_decides_the_next_attempt(fault: FaultKind, reconnected: bool, expected: RetryAction) {
    assert_eq!(retry_action(fault, reconnected), expected);
}

#[parameterized(
    empty = { "" },
    no_trace = { "00-00000000000000000000000000000000-b7ad6b7169203331-01" },
    no_span = { "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01" },
    capitals = { "00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01" },
    sign = { "00-+af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01" },
    version_255 = { "ff-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01" },
    extra_field_in_version_0 = { "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-x" },
)]
fn malformed_traceparent_is_refused(text: &str) {
    assert!(text.parse::<TraceContext>().is_err());
}

#[parameterized(
    plenty = { 30_000, 4_000 },
    half_is_reserved_for_another_attempt = { 4_000, 2_000 },
    too_little_for_two = { 900, 900 },
)]
fn timeouts_reserve_time_for_another_attempt(left: u64, first_byte: u64) {
    let left = Duration::from_millis(left);
    let timeouts = AttemptTimeouts::new(Millis::new(200), Millis::new(20), left);
    assert_eq!(timeouts.first_byte, Duration::from_millis(first_byte));
    assert!(timeouts.first_byte >= MIN_FIRST_BYTE_TIMEOUT.min(left));
}
