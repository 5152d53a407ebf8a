//! Types, catalog and decision logic of the router, without I/O.
//!
//! Nothing here reads a clock, opens a socket, spawns a task or uses an unseeded random generator:
//! every decision is a plain struct with functions of `(state, input, now)`. The adapters and
//! the binaries perform the I/O.

#![warn(clippy::unwrap_used)]

pub mod account_share;
pub mod admission;
pub mod alarm_threshold;
pub mod attempt_retry;
pub mod attempt_timeouts;
pub mod backoff;
pub mod catalog;
pub mod chain;
pub mod chain_input;
pub mod choice_mode;
pub mod claim;
pub mod cold_division;
pub mod concurrency;
pub mod confidence;
pub mod connection_budget;
pub mod deadline;
pub mod detect;
pub mod dispatch_guard;
pub mod ejection;
pub mod evacuation_view;
pub mod fleet_statistics;
pub mod head;
pub mod hedge;
pub mod home_regions;
pub mod host_view;
pub mod ids;
pub mod lease;
pub mod leaving;
pub mod ledger;
pub mod limit_division;
pub mod membership;
pub mod part_quarantine;
pub mod pending_loads;
pub mod place_division;
pub mod placement;
pub mod pool_rotation;
pub mod prefix_hints;
pub mod prefix_value;
pub mod price;
pub mod quality;
pub mod quality_estimate;
pub mod rate_share;
pub mod reach_view;
pub mod reason;
pub mod request_hash;
pub mod request_quarantine;
pub mod request_rate;
pub mod resend_choice;
pub mod retry_after;
pub mod retry_budget;
pub mod retry_turns;
pub mod rollout;
pub mod room_admission;
pub mod seat_order;
pub mod session;
pub mod silence_excuse;
pub mod slow_start;
pub mod stable_hash;
pub mod store_era;
pub mod stream_order;
pub mod subset;
pub mod token_bucket;
pub mod trace_context;
pub mod units;
pub mod upstream_choice;
pub mod upstream_pace;
pub mod upstream_standing;
pub mod usage;
pub mod versioned;
