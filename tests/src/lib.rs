//! Golden sessions, randomised runs and process tests.

pub mod firms;
pub mod fleet;
pub mod session;
pub mod verdict;
