//! Usage records, batches, claims and statements.
