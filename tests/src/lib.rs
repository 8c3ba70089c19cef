//! Golden sessions, randomised runs and process tests.
