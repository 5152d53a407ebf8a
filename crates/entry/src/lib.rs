//! The data path: the callers' HTTP API, admission, attempts at upstreams, sessions, and calls of
//! plain services.
//!
//! [`EntryServer`] is built from [`EntryParts`]. The decision logic is in `oleander-core`; this
//! crate supplies its inputs and carries out its results.

#![warn(clippy::unwrap_used)]

mod account;
mod account_limits;
mod admin;
mod answer_sink;
mod attempt;
mod billing;
mod chat;
mod chat_body;
mod chat_context;
mod chat_plan;
mod chat_reply;
mod chat_run;
mod engine_chunk;
mod entry_process;
mod field_errors;
mod handler;
mod headers;
pub mod identity;
mod in_flight;
mod load_report;
mod load_watch;
mod message_merge;
mod metrics;
mod model_list;
mod options;
mod parts;
mod refusal;
mod request_body;
mod request_trace;
mod run_progress;
mod sample_queue;
mod server;
mod service_call;
mod service_order;
mod service_request;
mod service_send;
mod session_pin;
mod sse;
mod state;
mod target;
mod upstream_directory;
mod upstream_handle;
mod upstream_pool;
mod version_run;

pub use entry_process::{EntryProcess, EntryStop};
pub use parts::EntryParts;
pub use refusal::Refusal;
pub use server::{EntryServer, EntryView};
