//! Parts of the daemon that its tests use by themselves: the platform's client and the operators' interface.

pub mod operator;
pub mod platform_client;
