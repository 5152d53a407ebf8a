//! Types, catalog and pure decisions of the router.
//!
//! Nothing here reads a clock, opens a socket, spawns a task or draws randomness of its own:
//! every decision is a plain struct with functions of `(state, input, now)`. The adapters and
//! the binaries carry inputs in and outputs out.

pub mod catalog;
pub mod choice_mode;
pub mod ids;
pub mod quality;
pub mod reason;
pub mod units;
pub mod usage;
