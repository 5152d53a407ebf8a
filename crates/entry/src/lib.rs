//! The data path: callers' HTTP, admission, attempts at upstreams, sessions, plain services.
//!
//! [`EntryServer`] is made from [`EntryParts`]. Decisions stand in `oleander-core`; this crate
//! carries inputs to them and their outputs out.

mod account;
mod handler;
mod model_list;
mod parts;
mod refusal;
mod server;
mod state;

pub use parts::EntryParts;
pub use refusal::Refusal;
pub use server::EntryServer;
