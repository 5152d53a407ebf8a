//! The platform's services in memory.

pub mod objects;
pub mod table;

pub use objects::MemoryObjects;
pub use table::MemoryTable;
