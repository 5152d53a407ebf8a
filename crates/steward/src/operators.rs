//! The operators' interface on a steward's admin port.
//!
//! | call | meaning |
//! |---|---|
//! | `GET /operators/status` | head, members and the revision in force on each |
//! | `GET /operators/history?limit=N` | the latest revisions |
//! | `GET /operators/catalog?revision=N` | the objects of a revision; the head without `revision` |
//! | `POST /operators/publish` | checks and publishes files |
//! | `POST /operators/edit` | makes one change by name |
//! | `GET /operators/bill/{account}?from=MS&to=MS` | a client account's statement |
//! | `GET /operators/explain/{request}` | why a request went where it went |
//!
//! Bodies are JSON. Each call carries `Authorization: Bearer KEY`; the key's id becomes the
//! author of revisions. [`messages`] has the bodies, [`desk`] what is done, [`handler`] the HTTP.

pub mod desk;
pub mod handler;
pub mod messages;

pub use desk::OperatorDesk;
pub use handler::operator_handler;
