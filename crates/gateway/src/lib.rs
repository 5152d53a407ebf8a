//! The data path for opaque requests: callers' bodies and answers are bytes under headers.
//!
//! [`gateway_process::GatewayProcess`] is one process with everything a host needs. What it is
//! told about the world comes through [`control_port::ControlPort`]; what it says on the wire
//! beside plain HTTP goes through [`wire_format::WireFormat`]. Both are met by an adapter, and
//! no name of any deployment is known here.

#![warn(clippy::unwrap_used)]

pub mod admitted;
pub mod attempt;
pub mod beacon;
pub mod belief_keeper;
pub mod beliefs;
pub mod caller_server;
pub mod cascade;
pub mod choice_price;
pub mod control_port;
pub mod event_splitter;
pub mod exchange;
pub mod fault;
pub mod gateway_process;
pub mod host_count;
pub mod latency_book;
pub mod link;
pub mod load_news;
pub mod metrics;
pub mod peer_book;
pub mod placement;
pub mod refusal;
pub mod request_record;
pub mod request_run;
pub mod rollout_driver;
pub mod rollout_plan;
pub mod rollout_sums;
pub mod rollout_tally;
pub mod routes;
pub mod seeded_words;
pub mod session_book;
pub mod settings;
pub mod state;
pub mod stop_state;
pub mod stream_relay;
pub mod topic_watch;
pub mod upstream_book;
pub mod upstream_cell;
pub mod upstream_entry;
pub mod wire_format;
