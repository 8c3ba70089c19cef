//! Golden sessions, randomised runs and process tests.

pub mod fleet;
pub mod mesh;
pub mod queue;
