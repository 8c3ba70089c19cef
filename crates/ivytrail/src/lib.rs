//! Overload control for service call graphs: every decision, and no I/O.
//!
//! One daemon runs beside each backend server. It is the entry for callers that connect to it and for the nested
//! calls of its own backend server, and the guard in front of that backend server:
//!
//! ```text
//! caller -> entry daemon -> guard daemon -> backend server
//!                 ^                              |
//!                 +------- nested calls ---------+   (through the backend server's own daemon)
//! ```
//!
//! All behaviour is in [`reducer::DaemonReducer`]: events go in, effects come out as data. Time, randomness and I/O
//! enter as events, so a whole session can be replayed and compared with a golden file.
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
