//! Settings: the tree that operators change while traffic runs, and the file that a daemon starts with.
//!
//! The tree has one subtree per team ([`TeamSubtree`]). A change replaces a whole subtree, issues a key or withdraws
//! one; each accepted change gets the next fleet-wide [`Revision`] and one entry in the audit trail ([`SettingsChange`]).

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
