//! Spread of accepted changes to every daemon.
