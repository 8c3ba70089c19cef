//! Overload control for service call graphs. This crate makes all decisions and performs no I/O.
//!
//! One daemon runs next to each backend server. It is the entry for callers that connect to it and for nested calls
//! from its local backend server, and the guard in front of that backend server:
//!
//! ```text
//! caller -> entry daemon -> guard daemon -> backend server
//!                 ^                              |
//!                 +------- nested calls ---------+   (through the backend server's local daemon)
//! ```
//!
//! All behaviour is in [`reducer::DaemonReducer`], which maps each event to effects that are returned as data. Time,
//! randomness and I/O results are supplied as events, so a session can be replayed and compared with a golden file.
//!
//! # Example
//!
//! ```
//! use ivytrail::time::TimePoint;
//!
//! let start = TimePoint::from_millis(10);
//! assert_eq!(start.plus(std::time::Duration::from_millis(5)), TimePoint::from_millis(15));
//! ```

pub mod admission;
pub mod authority;
pub mod claim;
pub mod error;
pub mod id;
pub mod lease;
pub mod membership;
pub mod mesh;
pub mod message;
pub mod platform;
pub mod quarantine;
pub mod quota;
pub mod reducer;
pub mod retry;
pub mod routing;
pub mod settings;
pub mod time;
