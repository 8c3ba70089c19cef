//! Look-ups that every request needs, built once for each revision.

use std::{collections::HashMap, sync::Arc};

use crate::{
    id::{AccountName, ContentDigest, KeyName, RouteName},
    settings::{ClientAccount, RoutePolicy, ServicePolicy, SettingsTree},
};

/// A settings tree in force, with its look-ups. Cloning it is cheap.
#[derive(Clone, Debug, Default)]
pub struct SettingsInForce(Arc<SettingsIndex>);

#[derive(Debug, Default)]
struct SettingsIndex {
    tree: SettingsTree,
    routes: Vec<(RouteName, RoutePolicy)>,
    keys: HashMap<ContentDigest, (KeyName, AccountName)>,
}

impl SettingsInForce {
    /// Returns the look-ups for `tree`.
    pub fn new(tree: SettingsTree) -> SettingsInForce {
        let mut routes: Vec<_> = tree
            .teams
            .values()
            .flat_map(|it| it.routes.iter().map(|(name, policy)| (name.clone(), policy.clone())))
            .collect();
        // The longest path comes first, so that the first match is the most specific one.
        routes.sort_by_key(|(_, policy)| std::cmp::Reverse(policy.path.len()));
        let keys = tree
            .keys
            .iter()
            .map(|(name, record)| (record.digest, (name.clone(), record.account.clone())))
            .collect();
        SettingsInForce(Arc::new(SettingsIndex { tree, routes, keys }))
    }

    /// Returns the tree itself.
    pub fn tree(&self) -> &SettingsTree {
        &self.0.tree
    }

    /// Returns the route that takes the request, the one with the longest matching path.
    pub fn find_route(&self, method: &str, path: &str) -> Option<(&RouteName, &RoutePolicy)> {
        let path = path.split('?').next().unwrap_or(path);
        self.0
            .routes
            .iter()
            .find(|(_, policy)| policy.method == method && has_path_prefix(path, &policy.path))
            .map(|(name, policy)| (name, policy))
    }

    /// Returns the client account of the key with `digest`.
    pub fn find_key(&self, digest: &ContentDigest) -> Option<&AccountName> {
        self.0.keys.get(digest).map(|(_, account)| account)
    }

    /// Returns the declaration of `account`.
    pub fn find_account(&self, account: &AccountName) -> Option<&ClientAccount> {
        self.0.tree.teams.values().find_map(|it| it.accounts.get(account))
    }

    /// Returns the declaration of the service with `name`.
    pub fn find_service(&self, name: &crate::id::ServiceName) -> Option<&ServicePolicy> {
        self.0.tree.teams.values().find_map(|it| it.services.get(name))
    }
}

fn has_path_prefix(path: &str, prefix: &str) -> bool {
    path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/'))
}
