//! The settings file that a daemon reads at its start.
//!
//! It contains what a daemon can't obtain from its peers: its name and addresses, the address of the platform, and the
//! credentials of peers and operators. Everything else is in the settings tree. `docs/CONFIGURATION.md` lists each
//! field with its unit, default and bounds.

use std::{collections::BTreeSet, fmt, net::SocketAddr, time::Duration};

use serde_json::Value;

use crate::{
    error::Findings,
    id::{ContentDigest, DomainName, InstanceName},
};

use super::{
    credential::{DIGEST_ALLOWED, parse_digest},
    decisions::{DecisionSwitches, read_decisions},
    document::parse_document,
    reader::{NAME_ALLOWED, NumberBounds, ObjectReader, ROOT_PLACE, parse_name, unexpected},
};

/// Minimum length of the secret that the daemons share, in bytes.
const MIN_SECRET_BYTES: usize = 16;

pub(crate) const ADDRESS_ALLOWED: &str = "an IP address and a port, e.g. \"10.0.0.7:7100\"";
const PLATFORM_ALLOWED: &str = "a URL \"http://host:port\"";
const SECRET_ALLOWED: &str = "a string of at least 16 bytes, identical at every daemon";
const OPERATORS_ALLOWED: &str = "a list of {\"name\", \"token_digest\"}";

/// Settings of one daemon, read from its settings file.
///
/// # Example
///
/// ```
/// use ivytrail::settings::file::DaemonSettings;
///
/// let findings = DaemonSettings::parse(r#"{"name": "Booking 1"}"#).unwrap_err();
/// assert!(findings.iter().any(|it| it.place == "$.name"));
/// assert!(findings.iter().any(|it| it.place == "$.failure_domain"));
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct DaemonSettings {
    /// Name of the instance, stable across restarts and unique in the fleet.
    pub name: InstanceName,
    /// Failure domain of the instance.
    pub failure_domain: DomainName,
    /// Region of the failure domain.
    pub region: String,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for the instance's backend server, which sends announcements and nested calls to it.
    pub local_address: SocketAddr,
    /// Address for other daemons, announced to them unchanged.
    pub peer_address: SocketAddr,
    /// Address for operators: settings, health and metrics.
    pub operator_address: SocketAddr,
    /// Base URL of the platform's table service and object store, without a trailing slash.
    pub platform: String,
    /// Secret that the daemons share. Peers without it are refused.
    pub peer_secret: PeerSecret,
    /// Operators with access to the operator address.
    pub operators: Vec<OperatorCredential>,
    /// Resource limits.
    pub limits: DaemonLimits,
    /// Timeouts of the daemon.
    pub intervals: DaemonIntervals,
    /// Mechanisms that are switched off for a measurement.
    pub decisions: DecisionSwitches,
}

/// Secret that the daemons share. Its `Debug` output is redacted, so that it doesn't appear in logs.
#[derive(Clone, PartialEq, Eq)]
pub struct PeerSecret(String);

impl PeerSecret {
    /// Returns the secret in plain text.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for PeerSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerSecret(..)")
    }
}

/// An operator, authenticated by a bearer token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorCredential {
    /// Name shown in the audit trail.
    pub name: String,
    /// SHA-256 digest of the token.
    pub token_digest: ContentDigest,
}

/// Resource limits of one daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DaemonLimits {
    /// Maximum size of a request or response body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum size of a request head (request line and headers), in bytes.
    pub max_header_bytes: usize,
    /// Maximum number of connections from callers.
    pub max_connections: usize,
    /// Maximum number of concurrent calls, including waiting ones.
    pub max_calls: usize,
}

/// Timeouts of one daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DaemonIntervals {
    /// Timeout of requests to the platform.
    pub platform_timeout: Duration,
    /// Maximum wait for the head of a caller's request on an open connection.
    pub header_timeout: Duration,
    /// Maximum time that a graceful shutdown waits for running requests.
    pub shutdown_grace: Duration,
}

impl DaemonSettings {
    /// Parses the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns all findings, each with its JSON path, the value found and the allowed values.
    pub fn parse(text: &str) -> Result<DaemonSettings, Findings> {
        let document = parse_document(text)?;
        let mut findings = Findings::default();
        let settings = read_settings(&document, &mut findings);
        match settings {
            Some(settings) => findings.into_result(settings),
            None => Err(findings),
        }
    }
}

fn read_settings(document: &Value, findings: &mut Findings) -> Option<DaemonSettings> {
    let mut reader = ObjectReader::new(document, ROOT_PLACE, findings);
    let name = reader.required("name", NAME_ALLOWED, parse_name);
    let failure_domain = reader.required("failure_domain", NAME_ALLOWED, parse_name);
    let region = reader.optional("region", NAME_ALLOWED, parse_name);
    let caller_address = reader.required("caller_address", ADDRESS_ALLOWED, parse_address);
    let local_address = reader.required("local_address", ADDRESS_ALLOWED, parse_address);
    let peer_address = reader.required("peer_address", ADDRESS_ALLOWED, parse_address);
    let operator_address = reader.required("operator_address", ADDRESS_ALLOWED, parse_address);
    let platform = reader.required("platform", PLATFORM_ALLOWED, parse_platform_url);
    let peer_secret = read_secret(&mut reader);
    let operators = read_operators(&mut reader);
    let limits = read_limits(&mut reader);
    let intervals = read_intervals(&mut reader);
    let decisions = read_decisions(&mut reader);
    check_peer_address(&mut reader, peer_address);
    check_distinct(
        &mut reader,
        [
            ("caller_address", caller_address),
            ("local_address", local_address),
            ("peer_address", peer_address),
            ("operator_address", operator_address),
        ],
    );
    reader.finish();
    Some(DaemonSettings {
        name: name?.into(),
        failure_domain: failure_domain?.into(),
        region: region.unwrap_or("default").to_string(),
        caller_address: caller_address?,
        local_address: local_address?,
        peer_address: peer_address?,
        operator_address: operator_address?,
        platform: platform?,
        peer_secret: peer_secret?,
        operators,
        limits,
        intervals,
        decisions,
    })
}

pub(crate) fn parse_address(value: &Value) -> Option<SocketAddr> {
    let address = value.as_str()?.parse::<SocketAddr>().ok()?;
    (address.port() != 0).then_some(address)
}

fn parse_platform_url(value: &Value) -> Option<String> {
    let url = value.as_str()?;
    let host = url.strip_prefix("http://")?.trim_end_matches('/');
    let is_plain = !host.is_empty() && !host.contains(['/', '?', '#', ' ', '@']);
    is_plain.then(|| format!("http://{host}"))
}

/// Reads the peer secret. Findings don't quote it, since they are displayed and logged.
fn read_secret(reader: &mut ObjectReader<'_, '_>) -> Option<PeerSecret> {
    let text = reader.required("peer_secret", SECRET_ALLOWED, |it| Some(it.as_str()))?;
    match text {
        Some(text) if MIN_SECRET_BYTES <= text.len() => Some(PeerSecret(text.to_string())),
        Some(text) => {
            let message = format!("found {} bytes; allowed: {SECRET_ALLOWED}", text.len());
            reader.report("peer_secret", message);
            None
        }
        None => {
            reader.report("peer_secret", format!("not a string; allowed: {SECRET_ALLOWED}"));
            None
        }
    }
}

fn read_operators(reader: &mut ObjectReader<'_, '_>) -> Vec<OperatorCredential> {
    let list = reader.optional("operators", OPERATORS_ALLOWED, Value::as_array);
    let place = reader.place_of("operators");
    let mut names = BTreeSet::new();
    let mut operators = Vec::new();
    for (idx, value) in list.into_iter().flatten().enumerate() {
        let place = format!("{place}[{idx}]");
        let Some(operator) = read_operator(value, &place, reader.findings()) else { continue };
        if !names.insert(operator.name.clone()) {
            let message = format!("duplicate name \"{}\"; allowed: each name once", operator.name);
            reader.findings().push(format!("{place}.name"), message);
        }
        operators.push(operator);
    }
    operators
}

fn read_operator(
    value: &Value,
    place: &str,
    findings: &mut Findings,
) -> Option<OperatorCredential> {
    let mut reader = ObjectReader::new(value, place, findings);
    let name = reader.required("name", NAME_ALLOWED, parse_name);
    let token_digest = reader.required("token_digest", DIGEST_ALLOWED, parse_digest);
    reader.finish();
    Some(OperatorCredential { name: name?.to_string(), token_digest: token_digest? })
}

fn read_limits(reader: &mut ObjectReader<'_, '_>) -> DaemonLimits {
    let mut limits = reader.section("limits");
    let mut size =
        |name, min, max, default| limits.bounded(name, NumberBounds { min, max, default }) as usize;
    let settings = DaemonLimits {
        max_body_bytes: size("max_body_bytes", 1_024, 64 << 20, 1 << 20),
        max_header_bytes: size("max_header_bytes", 1_024, 1 << 20, 16 << 10),
        max_connections: size("max_connections", 1, 1_000_000, 10_000),
        max_calls: size("max_calls", 1, 1_000_000, 5_000),
    };
    limits.finish();
    settings
}

fn read_intervals(reader: &mut ObjectReader<'_, '_>) -> DaemonIntervals {
    let mut intervals = reader.section("intervals");
    let mut millis = |name, min, max, default| {
        Duration::from_millis(intervals.bounded(name, NumberBounds { min, max, default }))
    };
    let settings = DaemonIntervals {
        platform_timeout: millis("platform_timeout_ms", 50, 10_000, 1_000),
        header_timeout: millis("header_timeout_ms", 100, 60_000, 10_000),
        shutdown_grace: millis("shutdown_grace_ms", 0, 600_000, 30_000),
    };
    intervals.finish();
    settings
}

fn check_peer_address(reader: &mut ObjectReader<'_, '_>, address: Option<SocketAddr>) {
    if address.is_some_and(|it| it.ip().is_unspecified()) {
        let value = Value::from(address.map(|it| it.to_string()));
        reader.report("peer_address", unexpected(&value, "an address reachable by other daemons"));
    }
}

fn check_distinct<const N: usize>(
    reader: &mut ObjectReader<'_, '_>,
    addresses: [(&'static str, Option<SocketAddr>); N],
) {
    let mut seen: Vec<(&str, SocketAddr)> = Vec::new();
    for (name, address) in addresses {
        let Some(address) = address else { continue };
        if let Some((other, _)) = seen.iter().find(|(_, it)| *it == address) {
            let message = format!(
                "found {address}, which is also the value of {other}; allowed: distinct addresses"
            );
            reader.report(name, message);
        }
        seen.push((name, address));
    }
}
