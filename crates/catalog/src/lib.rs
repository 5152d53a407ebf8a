//! Publishes the catalog and follows the one in force.
