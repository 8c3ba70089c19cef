//! Small stand-ins for the platform, a backend server and callers. Never shipped.
//!
//! Each stand-in is a library function and a program: tests run them in their own process, the demo and the benches
//! start them as programs.

pub mod backend;
pub mod caller;
pub mod cluster;
pub mod demo;
pub mod latency_probe;
pub mod measure;
pub mod mesh;
pub mod operator;
pub mod platform;
pub mod process;
pub mod response;
pub mod scale;
pub mod server;
