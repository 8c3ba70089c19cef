//! Membership: which daemons run, which services they guard, and in which state.
