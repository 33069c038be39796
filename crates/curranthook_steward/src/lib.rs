//! The steward: control work under leases in the platform's table.
