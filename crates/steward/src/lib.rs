//! Catalog publication, leases, roll-outs and orders.
