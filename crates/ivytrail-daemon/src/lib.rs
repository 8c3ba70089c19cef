//! The daemon beside one backend server: the shell that drives the reducer of the `ivytrail` crate.
//!
//! [`server::run`] binds the four interfaces (callers, the own backend server, other daemons, operators), starts the
//! loops and ends when a signal comes. Everything that is decided is decided in the reducer; the shell carries events
//! to it and carries its effects out.

mod caller_desk;
mod control_loop;
mod executor;
mod local_desk;
pub mod log_setup;
pub mod mesh;
mod metrics;
pub mod operator;
mod operator_backend;
pub mod options;
mod peer_client;
mod peer_desk;
pub mod platform_client;
mod run_client;
pub mod server;
mod shell;
