//! Choice of the upstream for an attempt.
