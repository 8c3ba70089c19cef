//! Settings: the tree that operators change at run time, and the file that a daemon reads at its start.
//!
//! The tree has one subtree per team ([`TeamSubtree`]). A change replaces a whole subtree, or issues or withdraws a
//! key. Each accepted change gets the next fleet-wide [`Revision`] and one entry in the audit trail
//! ([`SettingsChange`]).

pub mod check;
pub mod credential;
pub mod decisions;
pub(crate) mod document;
pub mod edit;
pub mod feed;
pub mod file;
pub mod index;
pub mod lookup;
pub mod operator_api;
pub(crate) mod reader;
pub mod rows;
pub mod snapshot;
pub mod store;
pub mod tree;

pub use tree::{
    ClientAccount, KeyRecord, PriorityClass, Revision, RoutePolicy, ServicePolicy, SettingsChange,
    SettingsTree, TeamSubtree, TreeEdit,
};
