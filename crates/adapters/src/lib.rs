//! Adapters shared by several binaries: HTTP, the platform's services, settings, logs and traces.

#![warn(clippy::unwrap_used)]

pub mod admin;
pub mod bounded_log;
pub mod client_socket;
pub mod connection_ledger;
pub mod head_timer;
pub mod http_client;
pub mod http_server;
pub mod logs;
pub mod platform;
pub mod read_meter;
pub mod ready;
pub mod settings;
pub mod signals;
pub mod socket_keepalive;
pub mod traces;
