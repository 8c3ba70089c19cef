//! Fakes of the platform, a backend server and callers, for tests, the demo and the benches. Never shipped.
//!
//! Each fake is available as a library type or function and as a program: tests run it in-process, the demo and the
//! benches start it as a separate process.

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
