//! Switches that turn single overload-control mechanisms off, to measure the system without them.

use serde_json::Value;

use super::reader::ObjectReader;

const SWITCH_ALLOWED: &str = "\"on\" or \"off\"";

/// Mechanisms that a daemon uses. All are on by default and stay on outside of measurements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DecisionSwitches {
    /// Adapts the guard's concurrency limit to measurements; otherwise the limit is the number of announced slots.
    pub adaptive_limit: bool,
    /// Shares slots between client accounts by weight; otherwise slots are assigned first come, first served.
    pub fairness: bool,
    /// Sheds critical requests last; otherwise all priority classes are treated alike.
    pub priority: bool,
    /// Sheds by the same admission level along the whole call chain.
    pub consistent_shedding: bool,
    /// Refuses requests that can't finish before their deadline; otherwise they wait and run.
    pub deadline_awareness: bool,
    /// Refuses root requests at the entry when a server in their call chain would refuse them.
    pub entry_gate: bool,
    /// Limits retries per call chain and per route; otherwise each hop retries a fixed number of times.
    pub retry_bounds: bool,
    /// Selects the less loaded of two upstreams, prefers the local failure domain and warms up cold servers; otherwise
    /// selects at random.
    pub load_routing: bool,
    /// Temporarily ejects failing upstreams.
    pub ejection: bool,
}

impl Default for DecisionSwitches {
    fn default() -> DecisionSwitches {
        DecisionSwitches {
            adaptive_limit: true,
            fairness: true,
            priority: true,
            consistent_shedding: true,
            deadline_awareness: true,
            entry_gate: true,
            retry_bounds: true,
            load_routing: true,
            ejection: true,
        }
    }
}

/// Reads the section `decisions` of the settings file.
pub(super) fn read_decisions(reader: &mut ObjectReader<'_, '_>) -> DecisionSwitches {
    let mut section = reader.section("decisions");
    let mut switch = |name| section.optional(name, SWITCH_ALLOWED, parse_switch).unwrap_or(true);
    let switches = DecisionSwitches {
        adaptive_limit: switch("adaptive_limit"),
        fairness: switch("fairness"),
        priority: switch("priority"),
        consistent_shedding: switch("consistent_shedding"),
        deadline_awareness: switch("deadline_awareness"),
        entry_gate: switch("entry_gate"),
        retry_bounds: switch("retry_bounds"),
        load_routing: switch("load_routing"),
        ejection: switch("ejection"),
    };
    section.finish();
    switches
}

fn parse_switch(value: &Value) -> Option<bool> {
    match value.as_str()? {
        "on" => Some(true),
        "off" => Some(false),
        _ => None,
    }
}
