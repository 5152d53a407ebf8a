//! The data path: callers' HTTP, admission, attempts, sessions.
