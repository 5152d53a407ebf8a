//! The platform's services over HTTP.
//!
//! | service | calls |
//! |---|---|
//! | table | `POST /transact`, `GET /rows/{key}`, `GET /scan?start=…&end=…&limit=…` |
//! | objects | `PUT /objects/{name}` with `If-None-Match: *`, `GET /objects/{name}`, `GET /objects?prefix=…` |
//! | weights | `POST /reserve` |
//! | ratings | `POST /samples`, `GET /ratings?cursor=…&limit=…` |
//! | hosts | `GET /hosts` |
//!
//! Bodies are JSON; values are base64. A service that refuses a call without applying it
//! answers `503` with [`NOT_APPLIED_HEADER`], or `429` when its rate limit is exceeded. Other
//! client errors (4xx) were not applied either; after any other failure a write may have been.

mod call;
pub mod hosts;
pub mod objects;
pub mod ratings;
pub mod table;
pub mod weights;
pub mod wire;

pub use hosts::HttpHostList;
pub use objects::HttpObjects;
pub use ratings::HttpRatings;
pub use table::HttpTable;
pub use weights::HttpWeights;

/// Set to `1` in an answer when the call was not applied.
pub const NOT_APPLIED_HEADER: &str = "x-not-applied";
