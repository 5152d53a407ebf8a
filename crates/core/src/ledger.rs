//! Billing: shards, windows, batches of usage records, and their totals.
//!
//! A usage record belongs to the shard of its client account and to the window in which its
//! request id was created, regardless of where and when the record is sent. All copies of one
//! record are therefore stored under the same shard and window, where they are deduplicated.

pub mod backlog;
pub mod fold;
pub mod keys;
pub mod origin_queue;
pub mod packed;
pub mod run;
pub mod shard;
