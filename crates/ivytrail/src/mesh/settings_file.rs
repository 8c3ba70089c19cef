//! The settings file of a daemon in a mesh.
//!
//! It holds the settings that are local to the daemon: its name and addresses, the address of the platform's table and
//! the limit on retries. `docs/CONFIGURATION.md` lists each field with its unit, default and bounds.

use std::{net::SocketAddr, time::Duration};

use serde_json::Value;

use crate::{
    error::Findings,
    id::{DomainName, InstanceName, ServiceName},
    mesh::retry_budget::RetryPolicy,
    settings::{
        document::parse_document,
        file::{ADDRESS_ALLOWED, parse_address},
        reader::{NAME_ALLOWED, NumberBounds, ObjectReader, ROOT_PLACE, parse_name},
    },
};

const SECONDS_ALLOWED: &str = "a number of seconds from 0 to 600";
const RECOVERY_ALLOWED: &str = "a number of milliseconds from 0 to 600000";
const RATIO_ALLOWED: &str = "a number from 0 to 1";
const BASE_ALLOWANCE_ALLOWED: &str = "a number from 0 to 100000";

/// Default of [`MeshSettings::table_recovery`].
const DEFAULT_TABLE_RECOVERY: Duration = Duration::from_secs(3);
/// Minimum of [`MeshSettings::table_recovery`]; shorter timeouts would end requests that the table still answers.
const MIN_TABLE_RECOVERY: Duration = Duration::from_millis(500);

/// Settings of one daemon in a mesh, read at start.
///
/// # Example
///
/// ```
/// use ivytrail::mesh::settings_file::MeshSettings;
///
/// let findings = MeshSettings::parse(r#"{"name": "booking-1"}"#).unwrap_err();
/// assert!(findings.iter().any(|it| it.place == "$.service"));
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct MeshSettings {
    /// Name of the instance, unique in the fleet.
    pub name: InstanceName,
    /// Failure domain that the instance is in.
    pub failure_domain: DomainName,
    /// Service of the local backend server.
    pub service: ServiceName,
    /// Listen address for requests from clients and from the local backend server.
    pub caller_address: SocketAddr,
    /// Listen address for announcements of the local backend server.
    pub local_address: SocketAddr,
    /// Listen address for the platform's readiness checks.
    pub health_address: SocketAddr,
    /// Listen address for links from other daemons.
    pub peer_address: SocketAddr,
    /// Address at which other daemons reach `peer_address`; the same address by default.
    pub advertised_address: SocketAddr,
    /// Listen address for metrics.
    pub metrics_address: SocketAddr,
    /// Address of the local backend server.
    pub server_address: SocketAddr,
    /// Address of the platform's table.
    pub table_address: SocketAddr,
    /// Time after a failure of the table, or of the connection to it, within which the daemon follows it again.
    pub table_recovery: Duration,
    /// Maximum time from the shutdown signal until the daemon exits.
    pub shutdown_grace: Duration,
    /// Maximum number of file descriptors that the process may hold.
    pub max_descriptors: usize,
    /// Limit on retries.
    pub retry_policy: RetryPolicy,
}

impl MeshSettings {
    /// Parses the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns all errors in the file, each with its JSON path, the value found and the values allowed.
    pub fn parse(text: &str) -> Result<MeshSettings, Findings> {
        let document = parse_document(text)?;
        let mut findings = Findings::default();
        match read_settings(&document, &mut findings) {
            Some(settings) => findings.into_result(settings),
            None => Err(findings),
        }
    }
}

fn read_settings(document: &Value, findings: &mut Findings) -> Option<MeshSettings> {
    let mut reader = ObjectReader::new(document, ROOT_PLACE, findings);
    let name = reader.required("name", NAME_ALLOWED, parse_name);
    let failure_domain = reader.required("failure_domain", NAME_ALLOWED, parse_name);
    let service = reader.required("service", NAME_ALLOWED, parse_name);
    let mut address = |field| reader.required(field, ADDRESS_ALLOWED, parse_address);
    let caller_address = address("caller_address");
    let local_address = address("local_address");
    let health_address = address("health_address");
    let peer_address = address("peer_address");
    let metrics_address = address("metrics_address");
    let server_address = address("server_address");
    let table_address = address("table_address");
    let advertised_address = reader.optional("advertised_address", ADDRESS_ALLOWED, parse_address);
    let grace_s = reader.required("shutdown_grace_s", SECONDS_ALLOWED, |it| number_in(it, 600.0));
    let bounds = NumberBounds { min: 64, max: 1 << 20, default: 4_096 };
    let max_descriptors = reader.bounded("max_descriptors", bounds) as usize;
    let table_recovery_ms =
        reader.optional("table_recovery_ms", RECOVERY_ALLOWED, |it| number_in(it, 600_000.0));
    let retry_policy = read_retry_policy(&mut reader);
    reader.finish();
    Some(MeshSettings {
        name: name?.into(),
        failure_domain: failure_domain?.into(),
        service: service?.into(),
        caller_address: caller_address?,
        local_address: local_address?,
        health_address: health_address?,
        peer_address: peer_address?,
        advertised_address: advertised_address.or(peer_address)?,
        metrics_address: metrics_address?,
        server_address: server_address?,
        table_address: table_address?,
        table_recovery: table_recovery_ms
            .map_or(DEFAULT_TABLE_RECOVERY, |it| Duration::from_secs_f64(it / 1e3))
            .max(MIN_TABLE_RECOVERY),
        shutdown_grace: Duration::from_secs_f64(grace_s?),
        max_descriptors,
        retry_policy,
    })
}

fn read_retry_policy(reader: &mut ObjectReader<'_, '_>) -> RetryPolicy {
    let default = RetryPolicy::default();
    let mut section = reader.section("repeats");
    let ratio = section.optional("ratio", RATIO_ALLOWED, |it| number_in(it, 1.0));
    let window_s = section.optional("window_s", SECONDS_ALLOWED, |it| number_in(it, 600.0));
    let base_allowance =
        section.optional("slack", BASE_ALLOWANCE_ALLOWED, |it| number_in(it, 100_000.0));
    section.finish();
    RetryPolicy {
        ratio: ratio.unwrap_or(default.ratio),
        window_s: window_s.filter(|it| 0.0 < *it).unwrap_or(default.window_s),
        base_allowance: base_allowance.unwrap_or(default.base_allowance),
    }
}

fn number_in(value: &Value, greatest: f64) -> Option<f64> {
    value.as_f64().filter(|number| (0.0..=greatest).contains(number))
}
