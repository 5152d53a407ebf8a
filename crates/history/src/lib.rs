//! Histories of concurrent runs and the checks over them.
