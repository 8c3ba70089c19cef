//! Admission at the guard: which attempts run, wait or are refused.
