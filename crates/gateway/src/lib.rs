//! The request data path of the gateway; bodies of requests and responses are opaque bytes.
//!
//! [`gateway_process::GatewayProcess`] is one process with everything a host needs. It follows the
//! control plane through [`control_port::ControlPort`] and encodes headers beyond plain HTTP
//! through [`wire_format::WireFormat`]. Adapters implement both; this crate contains no names of a
//! deployment's headers, tables or settings.

#![warn(clippy::unwrap_used)]

pub mod admitted;
pub mod answer_buffer;
pub mod answer_times;
pub mod attempt;
pub mod caller_server;
pub mod carrier_client;
pub mod carrier_server;
pub mod carrier_wire;
pub mod cascade;
pub mod choice_price;
pub mod cold_upstreams;
pub mod configuration_check;
pub mod configuration_draft;
pub mod connection_end;
pub mod control_cache;
pub mod control_port;
pub mod crash_guard;
pub mod evacuation_records;
pub mod event_pace;
pub mod event_splitter;
pub mod exchange;
pub mod fault;
pub mod gateway_process;
pub mod gossip;
pub mod gossip_seal;
pub mod host_count;
pub mod latency_tracker;
pub mod load_report;
pub mod metrics;
pub mod path_trials;
pub mod peer_table;
pub mod placement;
pub mod read_ahead;
pub mod refusal;
pub mod request_record;
pub mod request_run;
pub mod rollout_answer;
pub mod rollout_beliefs;
pub mod rollout_counters;
pub mod rollout_driver;
pub mod rollout_plan;
pub mod rollout_sums;
pub mod routes;
pub mod seeded_random;
pub mod session_versions;
pub mod settings;
pub mod shared_evacuations;
pub mod shared_limits;
pub mod shared_state;
pub mod snapshot_publisher;
pub mod socket_dialer;
pub mod state;
pub mod stop_state;
pub mod store_calls;
pub mod stream_relay;
pub mod topic_watch;
pub mod upstream_connection;
pub mod upstream_entry;
pub mod upstream_handle;
pub mod upstream_pool;
pub mod upstream_reach;
pub mod upstream_records;
pub mod upstream_socket;
pub mod upstream_speeds;
pub mod upstream_standings;
pub mod wire_format;

pub use oleander_adapters::head_timer;
