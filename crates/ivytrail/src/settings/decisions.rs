//! Switches of the single decisions, for measurements against the same system without one of them.

use serde_json::Value;

use super::reader::ObjectReader;

const SWITCH_ALLOWED: &str = "\"on\" or \"off\"";

/// Which decisions a daemon takes. All are on by default; operators have no reason to turn one off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DecisionSwitches {
    /// Adapts the guard's concurrency limit to what it measures; otherwise the announced slots are the limit.
    pub adaptive_limit: bool,
    /// Shares slots between client accounts by weight; otherwise first come, first served.
    pub fairness: bool,
    /// Sheds critical work last; otherwise all classes are equal.
    pub priority: bool,
    /// Sheds by one admission level in the whole call chain.
    pub consistent_shedding: bool,
    /// Refuses work that can't end before its deadline; otherwise it waits and runs.
    pub deadline_awareness: bool,
    /// Refuses root requests at the entry whose chain would refuse them.
    pub entry_gate: bool,
    /// Bounds retries in the chain and per route; otherwise each hop retries a fixed number of times.
    pub retry_bounds: bool,
    /// Compares the load of two upstreams, prefers the own failure domain, warms up cold servers; otherwise random.
    pub load_routing: bool,
    /// Ejects upstreams that fail.
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

/// Reads the section `decisions`.
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
