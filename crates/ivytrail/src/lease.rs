//! Ownership leases among the members of a ring.
