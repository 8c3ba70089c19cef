//! The file that a daemon starts with.
