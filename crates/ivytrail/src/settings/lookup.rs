//! Lookup tables for the hot path, built once for each revision of the settings tree.

use std::collections::{BTreeMap, HashMap};

use smol_str::SmolStr;

use crate::id::{AccountName, ContentDigest, KeyName, RouteName, TeamName};

use super::{
    credential::{digests_match, secret_digest},
    tree::{ClientAccount, KeyRecord, RoutePolicy, SettingsTree},
};

/// Routes of all teams by method and path.
///
/// Finding a route takes one hash lookup per path segment, and allocates only for paths with percent-encoded bytes.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    methods: HashMap<SmolStr, MethodRoutes>,
}

#[derive(Clone, Debug, Default)]
struct MethodRoutes {
    by_path: HashMap<SmolStr, (TeamName, RouteName, RoutePolicy)>,
    /// Length of the longest path prefix, in bytes. It bounds the number of lookups for very long paths.
    max_prefix_bytes: usize,
}

impl RouteTable {
    /// Builds the table of the routes in `tree`.
    pub fn new(tree: &SettingsTree) -> RouteTable {
        let mut table = RouteTable::default();
        for (team, subtree) in &tree.teams {
            for (name, route) in &subtree.routes {
                let routes = table.methods.entry(SmolStr::new(&route.method)).or_default();
                let entry = (team.clone(), name.clone(), route.clone());
                routes.max_prefix_bytes = routes.max_prefix_bytes.max(route.path.len());
                routes.by_path.insert(SmolStr::new(&route.path), entry);
            }
        }
        table
    }

    /// Returns the route with the longest path prefix that matches `path` at a segment boundary.
    ///
    /// The query and fragment are ignored. A path with dot segments, including percent-encoded ones, matches no route:
    /// a backend server might resolve it to a path that belongs to another route.
    pub fn find(&self, method: &str, path: &str) -> Option<(&TeamName, &RouteName, &RoutePolicy)> {
        let routes = self.methods.get(method)?;
        let path = path.split(['?', '#']).next().unwrap_or_default();
        if !path.starts_with('/') || has_dot_segment(path) {
            return None;
        }
        let prefixes = path.match_indices('/').map(|(idx, _)| &path[..idx]).chain([path]);
        let candidates = prefixes.skip(1).take_while(|it| it.len() <= routes.max_prefix_bytes);
        let found = candidates.filter_map(|prefix| routes.by_path.get(prefix)).last();
        let (team, name, route) = found.or_else(|| routes.by_path.get("/"))?;
        Some((team, name, route))
    }

    /// Returns all routes, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (&TeamName, &RouteName, &RoutePolicy)> {
        let entries = self.methods.values().flat_map(|routes| routes.by_path.values());
        entries.map(|(team, name, route)| (team, name, route))
    }
}

/// Returns whether a backend server that decodes the path would see a `.` or `..` segment.
fn has_dot_segment(path: &str) -> bool {
    if !path.contains("/.") && !path.contains(['%', '\\']) {
        return false;
    }
    let decoded = decode_percent(path);
    decoded.split(|byte| b"/\\".contains(byte)).any(|it| it == b"." || it == b"..")
}

fn decode_percent(path: &str) -> Vec<u8> {
    let mut decoded = Vec::with_capacity(path.len());
    let mut rest = path.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let code = (*first == b'%').then(|| tail.get(..2)).flatten();
        let byte = code.and_then(|it| std::str::from_utf8(it).ok());
        let byte = byte.and_then(|it| u8::from_str_radix(it, 16).ok());
        decoded.push(byte.unwrap_or(*first));
        rest = if byte.is_some() { &tail[2..] } else { tail };
    }
    decoded
}

/// Client accounts of all teams by name.
#[derive(Clone, Debug, Default)]
pub struct AccountIndex {
    accounts: BTreeMap<AccountName, ClientAccount>,
}

impl AccountIndex {
    /// Builds the index of the accounts in `tree`.
    pub fn new(tree: &SettingsTree) -> AccountIndex {
        let accounts = tree.teams.values().flat_map(|subtree| &subtree.accounts);
        let accounts = accounts.map(|(name, account)| (name.clone(), account.clone())).collect();
        AccountIndex { accounts }
    }

    /// Returns the account with `name`.
    pub fn find(&self, name: &AccountName) -> Option<&ClientAccount> {
        self.accounts.get(name)
    }

    /// Returns all accounts, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = (&AccountName, &ClientAccount)> {
        self.accounts.iter()
    }
}

/// Keys in force by the digest of their secret.
#[derive(Clone, Debug, Default)]
pub struct KeyIndex {
    keys: HashMap<ContentDigest, (KeyName, KeyRecord)>,
}

impl KeyIndex {
    /// Builds the index of the keys in `tree`.
    pub fn new(tree: &SettingsTree) -> KeyIndex {
        let entry = |(name, record): (&KeyName, &KeyRecord)| {
            (record.digest, (name.clone(), record.clone()))
        };
        KeyIndex { keys: tree.keys.iter().map(entry).collect() }
    }

    /// Returns the record of the key with `secret`.
    ///
    /// The key is looked up by the digest of the secret, whose bytes a caller can't choose, and the digests are
    /// compared in constant time.
    pub fn find(&self, secret: &str) -> Option<&KeyRecord> {
        self.find_digest(&secret_digest(secret))
    }

    /// Returns the record of the key whose secret has `digest`.
    pub fn find_digest(&self, digest: &ContentDigest) -> Option<&KeyRecord> {
        let (_, record) = self.keys.get(digest)?;
        digests_match(&record.digest, digest).then_some(record)
    }

    /// Returns whether no key is in force.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}
