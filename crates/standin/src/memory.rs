//! In-memory implementations of the platform's services.

pub mod hosts;
pub mod objects;
pub mod ratings;
pub mod table;
pub mod weights;

pub use hosts::MemoryHosts;
pub use objects::MemoryObjects;
pub use ratings::MemoryRatings;
pub use table::MemoryTable;
pub use weights::MemoryWeights;
