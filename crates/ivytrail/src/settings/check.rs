//! Validation of declarations before they are accepted.
//!
//! [`parse_subtree`] needs only the text, so that the operator's tool can run it offline. [`check_subtree`] and
//! [`check_key`] compare an edit with the rest of the tree, at exactly the revision that the edit follows.

use std::collections::BTreeMap;

use serde_json::Value;

use crate::{
    error::Findings,
    id::{KeyName, TeamName},
};

use super::{
    document::parse_document,
    reader::{
        NAME_ALLOWED, NumberBounds, ObjectReader, ROOT_PLACE, child_place, is_name, parse_name,
    },
    tree::{
        ClientAccount, KeyRecord, PriorityClass, RoutePolicy, ServicePolicy, SettingsTree,
        TeamSubtree,
    },
};

/// HTTP methods that a route can match.
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

/// Maximum rate of a client account, in requests per second.
const MAX_RATE_PER_S: f64 = 1_000_000.0;

/// Minimum rate of a client account, in requests per second: one request per 1,000 seconds.
const MIN_RATE_PER_S: f64 = 0.001;

/// Maximum length of a route's path prefix, in bytes.
const MAX_PATH_BYTES: usize = 256;

const DEADLINE_MS: NumberBounds = NumberBounds { min: 1, max: 600_000, default: 2_000 };
const RETRY_BUDGET: NumberBounds = NumberBounds { min: 0, max: 100, default: 3 };
const QUEUE_MS: NumberBounds = NumberBounds { min: 0, max: 60_000, default: 100 };

/// Maximum number of concurrent requests that can be configured for one backend server.
const MAX_CONCURRENCY: u64 = 100_000;

const PATH_ALLOWED: &str = "a path of at most 256 printable ASCII bytes that starts with '/', without '?', '#', '%', \
                            '\\', empty or dot segments, and without a '/' at its end unless it is \"/\"";
const PRIORITY_ALLOWED: &str = "\"critical\", \"normal\" or \"sheddable\"";
const FLAG_ALLOWED: &str = "true or false";

/// Returns whether `name` is a valid name of a team, account, route, service or key.
pub fn is_valid_name(name: &str) -> bool {
    is_name(name)
}

/// Parses a team's subtree and validates it on its own.
///
/// # Errors
///
/// Returns a finding for each unknown field, each value out of bounds, each route to a service that the subtree doesn't
/// declare, and each route with the same method and path as another one.
pub fn parse_subtree(text: &str) -> Result<TeamSubtree, Findings> {
    let document = parse_document(text)?;
    let mut findings = Findings::default();
    let mut reader = ObjectReader::new(&document, ROOT_PLACE, &mut findings);
    let mut subtree = TeamSubtree::default();
    for (name, value, place) in named_entries(&mut reader, "accounts") {
        let account = read_account(value, &place, reader.findings());
        subtree.accounts.extend(account.map(|it| (name.into(), it)));
    }
    for (name, value, place) in named_entries(&mut reader, "services") {
        let service = read_service(value, &place, reader.findings());
        subtree.services.insert(name.into(), service);
    }
    for (name, value, place) in named_entries(&mut reader, "routes") {
        let route = read_route(value, &place, reader.findings());
        subtree.routes.extend(route.map(|it| (name.into(), it)));
    }
    check_routes(&subtree, reader.findings());
    reader.finish();
    findings.into_result(subtree)
}

/// Checks a team's new subtree against the other teams' subtrees and the keys in force.
///
/// # Errors
///
/// Returns a finding for each account or service whose name another team uses, for each route with the same method and
/// path as another team's, and for each removed account that still has keys.
pub fn check_subtree(
    tree: &SettingsTree,
    team: &TeamName,
    subtree: &TeamSubtree,
) -> Result<(), Findings> {
    let mut findings = Findings::default();
    if !is_name(team.as_str()) {
        findings.push(ROOT_PLACE, format!("invalid team name \"{team}\"; allowed: {NAME_ALLOWED}"));
    }
    for (other, other_subtree) in tree.teams.iter().filter(|(other, _)| *other != team) {
        check_unique_names(other, other_subtree, subtree, &mut findings);
        check_unique_paths(other, other_subtree, subtree, &mut findings);
    }
    check_removed_accounts(tree, team, subtree, &mut findings);
    findings.into_result(())
}

/// Checks a key before it is issued.
///
/// # Errors
///
/// Returns a finding when its name is invalid or in use, when no team declares its account, or when another key has the
/// same secret.
pub fn check_key(tree: &SettingsTree, name: &KeyName, record: &KeyRecord) -> Result<(), Findings> {
    let mut findings = Findings::default();
    if !is_name(name.as_str()) {
        findings.push("$.name", format!("found \"{name}\"; allowed: {NAME_ALLOWED}"));
    }
    if tree.keys.contains_key(name) {
        findings.push("$.name", format!("key \"{name}\" is in force; allowed: an unused name"));
    }
    if !tree.teams.values().any(|it| it.accounts.contains_key(&record.account)) {
        findings.push("$.account", format!("no team has an account \"{}\"", record.account));
    }
    if let Some((other, _)) = tree.keys.iter().find(|(_, it)| it.digest == record.digest) {
        findings.push("$.digest", format!("key \"{other}\" has the same secret"));
    }
    findings.into_result(())
}

/// Returns the entries of a section that have valid names, with their JSON paths. An invalid name is a finding.
fn named_entries<'d>(
    reader: &mut ObjectReader<'d, '_>,
    section: &'static str,
) -> Vec<(&'d str, &'d Value, String)> {
    let section_place = reader.place_of(section);
    let mut named = Vec::new();
    for (name, value) in reader.entries(section) {
        let place = child_place(&section_place, name);
        if is_name(name) {
            named.push((name, value, place));
        } else {
            reader.findings().push(place, format!("invalid name; allowed: {NAME_ALLOWED}"));
        }
    }
    named
}

fn read_account(value: &Value, place: &str, findings: &mut Findings) -> Option<ClientAccount> {
    let mut reader = ObjectReader::new(value, place, findings);
    let rate_allowed = format!("a number from {MIN_RATE_PER_S} to {MAX_RATE_PER_S}");
    let parse_rate =
        |it: &Value| it.as_f64().filter(|n| (MIN_RATE_PER_S..=MAX_RATE_PER_S).contains(n));
    let parse_burst = |it: &Value| it.as_f64().filter(|n| (1.0..=MAX_RATE_PER_S).contains(n));
    let rate_per_s = reader.required("rate_per_s", &rate_allowed, parse_rate);
    let burst =
        reader.required("burst", &format!("a number from 1 to {MAX_RATE_PER_S}"), parse_burst);
    let weight = reader.optional("weight", &rate_allowed, parse_rate);
    reader.finish();
    Some(ClientAccount { rate_per_s: rate_per_s?, burst: burst?, weight })
}

fn read_service(value: &Value, place: &str, findings: &mut Findings) -> ServicePolicy {
    let mut reader = ObjectReader::new(value, place, findings);
    let concurrency_allowed = format!("a whole number from 1 to {MAX_CONCURRENCY}");
    let parse_concurrency = |it: &Value| {
        it.as_u64().filter(|n| (1..=MAX_CONCURRENCY).contains(n)).and_then(|n| n.try_into().ok())
    };
    let max_concurrency =
        reader.optional("max_concurrency", &concurrency_allowed, parse_concurrency);
    let max_queue_ms = reader.bounded("max_queue_ms", QUEUE_MS);
    reader.finish();
    ServicePolicy { max_concurrency, max_queue_ms }
}

fn read_route(value: &Value, place: &str, findings: &mut Findings) -> Option<RoutePolicy> {
    let mut reader = ObjectReader::new(value, place, findings);
    let method = reader.required("method", &format!("one of {}", METHODS.join(", ")), parse_method);
    let path = reader.required("path", PATH_ALLOWED, parse_path);
    let service = reader.required("service", NAME_ALLOWED, parse_name);
    let priority = reader.optional("priority", PRIORITY_ALLOWED, parse_priority);
    let idempotent = reader.optional("idempotent", FLAG_ALLOWED, Value::as_bool);
    let open = reader.optional("open", FLAG_ALLOWED, Value::as_bool);
    let deadline_ms = reader.bounded("deadline_ms", DEADLINE_MS);
    let retry_budget = reader.bounded("retry_budget", RETRY_BUDGET);
    reader.finish();
    Some(RoutePolicy {
        method: method?.to_string(),
        path: path?.to_string(),
        service: service?.into(),
        priority: priority.unwrap_or_default(),
        idempotent: idempotent.unwrap_or_default(),
        open: open.unwrap_or_default(),
        deadline_ms,
        retry_budget: u32::try_from(retry_budget).ok()?,
    })
}

fn parse_method(value: &Value) -> Option<&str> {
    value.as_str().filter(|method| METHODS.contains(method))
}

fn parse_path(value: &Value) -> Option<&str> {
    let path = value.as_str()?;
    let inner = path.strip_prefix('/')?;
    let is_plain = |byte: u8| byte.is_ascii_graphic() && !b"?#%\\".contains(&byte);
    let segments_fit = inner.split('/').all(|it| !["", ".", ".."].contains(&it));
    let fits = path.len() <= MAX_PATH_BYTES && path.bytes().all(is_plain);
    (fits && (inner.is_empty() || segments_fit)).then_some(path)
}

fn parse_priority(value: &Value) -> Option<PriorityClass> {
    match value.as_str()? {
        "critical" => Some(PriorityClass::Critical),
        "normal" => Some(PriorityClass::Normal),
        "sheddable" => Some(PriorityClass::Sheddable),
        _ => None,
    }
}

/// Checks that the service of each route is declared and that no two routes have the same method and path.
fn check_routes(subtree: &TeamSubtree, findings: &mut Findings) {
    let mut owners = BTreeMap::new();
    for (name, route) in &subtree.routes {
        let place = format!("$.routes.{name}");
        if !subtree.services.contains_key(&route.service) {
            let message = format!("service \"{}\" isn't declared in $.services", route.service);
            findings.push(child_place(&place, "service"), message);
        }
        if let Some(owner) = owners.insert((&route.method, &route.path), name) {
            let message =
                format!("{} {} is already declared by route \"{owner}\"", route.method, route.path);
            findings.push(child_place(&place, "path"), message);
        }
    }
}

fn check_unique_names(
    other: &TeamName,
    other_subtree: &TeamSubtree,
    subtree: &TeamSubtree,
    findings: &mut Findings,
) {
    for name in subtree.accounts.keys().filter(|name| other_subtree.accounts.contains_key(*name)) {
        findings
            .push(format!("$.accounts.{name}"), format!("already declared by team \"{other}\""));
    }
    for name in subtree.services.keys().filter(|name| other_subtree.services.contains_key(*name)) {
        findings
            .push(format!("$.services.{name}"), format!("already declared by team \"{other}\""));
    }
}

fn check_unique_paths(
    other: &TeamName,
    other_subtree: &TeamSubtree,
    subtree: &TeamSubtree,
    findings: &mut Findings,
) {
    let other_routes = other_subtree.routes.iter().map(|(name, it)| ((&it.method, &it.path), name));
    let other_routes = other_routes.collect::<BTreeMap<_, _>>();
    for (name, route) in &subtree.routes {
        if let Some(owner) = other_routes.get(&(&route.method, &route.path)) {
            let message = format!(
                "{} {} is already declared by route \"{owner}\" of team \"{other}\"",
                route.method, route.path
            );
            findings.push(format!("$.routes.{name}.path"), message);
        }
    }
}

fn check_removed_accounts(
    tree: &SettingsTree,
    team: &TeamName,
    subtree: &TeamSubtree,
    findings: &mut Findings,
) {
    let Some(before) = tree.teams.get(team) else { return };
    let is_removed = |record: &KeyRecord| {
        before.accounts.contains_key(&record.account)
            && !subtree.accounts.contains_key(&record.account)
    };
    for (key, record) in tree.keys.iter().filter(|(_, it)| is_removed(it)) {
        let message = format!(
            "can't be removed while key \"{key}\" authenticates it; withdraw the key first"
        );
        findings.push(format!("$.accounts.{}", record.account), message);
    }
}
