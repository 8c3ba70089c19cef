//! Bounds on retries: conserved tokens in the call chain and a ratio per route.
