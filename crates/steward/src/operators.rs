//! The operators' API on a steward's admin port.
//!
//! | call | meaning |
//! |---|---|
//! | `GET /operators/status` | head, members and the revision in force on each |
//! | `GET /operators/history?limit=N` | the latest revisions |
//! | `GET /operators/catalog?revision=N` | the objects of a revision; the head without `revision` |
//! | `POST /operators/publish` | checks and publishes files |
//! | `POST /operators/edit` | publishes one named edit |
//! | `GET /operators/bill/{account}?from=MS&to=MS` | a client account's statement |
//! | `GET /operators/explain/{request}` | explains the routing of a request |
//!
//! Bodies are JSON. Each call carries `Authorization: Bearer KEY`; the key's id becomes the
//! author of revisions. [`messages`] defines the bodies, [`service`] implements the calls and
//! [`handler`] serves them over HTTP.

pub mod handler;
pub mod messages;
pub mod service;

pub use handler::operator_handler;
pub use service::OperatorService;
