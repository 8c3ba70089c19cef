//! Settings in force at a daemon: the tree of one revision with the lookup tables that requests need.

use std::sync::Arc;

use crate::{
    id::{AccountName, ContentDigest, RouteName, ServiceName},
    settings::{
        ClientAccount, Revision, RoutePolicy, ServicePolicy, SettingsTree,
        lookup::{AccountIndex, KeyIndex, RouteTable},
    },
};

/// The settings tree in force with its lookup tables. Clones share the data.
#[derive(Clone, Debug, Default)]
pub struct SettingsInForce(Arc<SettingsIndex>);

#[derive(Debug, Default)]
struct SettingsIndex {
    tree: SettingsTree,
    routes: RouteTable,
    accounts: AccountIndex,
    keys: KeyIndex,
}

impl SettingsInForce {
    /// Builds the lookup tables for `tree`.
    pub fn new(tree: SettingsTree) -> SettingsInForce {
        let routes = RouteTable::new(&tree);
        let accounts = AccountIndex::new(&tree);
        let keys = KeyIndex::new(&tree);
        SettingsInForce(Arc::new(SettingsIndex { tree, routes, accounts, keys }))
    }

    /// Returns the settings tree.
    pub fn tree(&self) -> &SettingsTree {
        &self.0.tree
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> Revision {
        self.0.tree.revision
    }

    /// Returns the route that matches the request.
    pub fn find_route(&self, method: &str, path: &str) -> Option<(&RouteName, &RoutePolicy)> {
        self.0.routes.find(method, path).map(|(_, name, policy)| (name, policy))
    }

    /// Returns the client account of the key whose secret has `digest`.
    pub fn find_key(&self, digest: &ContentDigest) -> Option<&AccountName> {
        self.0.keys.find_digest(digest).map(|record| &record.account)
    }

    /// Returns the declaration of `account`.
    pub fn find_account(&self, account: &AccountName) -> Option<&ClientAccount> {
        self.0.accounts.find(account)
    }

    /// Returns all client accounts, ordered by name.
    pub fn accounts(&self) -> impl Iterator<Item = (&AccountName, &ClientAccount)> {
        self.0.accounts.iter()
    }

    /// Returns the declaration of the service with `name`.
    pub fn find_service(&self, name: &ServiceName) -> Option<&ServicePolicy> {
        self.0.tree.teams.values().find_map(|it| it.services.get(name))
    }
}
