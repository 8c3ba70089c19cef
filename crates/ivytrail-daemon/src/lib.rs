//! The daemon that runs beside one backend server: I/O around the reducers of the `ivytrail` crate.
//!
//! [`server::run`] binds the four interfaces (callers, the local backend server, other daemons, operators), starts the
//! background tasks and returns when a signal arrives. All decisions are made in the reducer; this crate passes events
//! to it and executes its effects. [`mesh::run`] does the same for the mesh daemon, on a platform with a table.

mod announcement_handler;
mod call_handler;
mod driver;
mod executor;
pub mod log_setup;
pub mod mesh;
mod metrics;
pub mod operator;
mod operator_backend;
pub mod options;
mod peer_client;
mod peer_handler;
pub mod platform_client;
mod platform_loop;
mod run_client;
pub mod server;
