//! Billing: shards, windows, batches, and what is summed up of them.
//!
//! A usage record belongs to the shard of its client account and to the window in which its
//! request was minted, wherever and whenever it is sent. Copies of one record therefore meet in
//! one place, where they count once.

pub mod backlog;
pub mod fold;
pub mod keys;
pub mod origin_queue;
pub mod packed;
pub mod run;
pub mod shard;
