//! Golden sessions, randomised runs and process tests.

pub mod firms;
pub mod fleet;
pub mod scenario;
pub mod session;
pub mod soak;
pub mod verdict;
