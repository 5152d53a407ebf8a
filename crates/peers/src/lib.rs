//! Authenticated protocols between the system's processes: membership, gossip and calls.
