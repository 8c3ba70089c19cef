//! Simulations, golden sessions, randomised runs and process tests.

pub mod daemon_fleet;
pub mod fault;
pub mod firms;
pub mod guard_fleet;
pub mod invariants;
pub mod mesh;
pub mod queue;
pub mod scenario;
pub mod session;
pub mod site;
pub mod soak;
pub mod stop_soak;
