//! Tests of the propagation of settings and of the evidence that entitles a daemon to serve by them.

mod support {
    pub use self::common::*;

    #[path = "../support/mod.rs"]
    mod common;
    #[path = "../support/fleet.rs"]
    pub mod fleet;
}

use std::time::Duration;

use ivytrail::settings::Revision;
use proptest::prelude::*;
use rand::RngExt;
use support::fleet::{FleetSim, ProtocolFault, RING_SIZE, STEP_MS};

const SETTLING_TIME: Duration = Duration::from_secs(5);

fn settled_fleet(n_nodes: usize) -> FleetSim {
    let mut sim = FleetSim::new(n_nodes, 7, ProtocolFault::None);
    sim.run_for(SETTLING_TIME);
    sim
}

fn n_serving(sim: &FleetSim) -> usize {
    (0..sim.nodes.len()).filter(|idx| sim.serves(*idx)).count()
}

fn feed_bytes(sim: &FleetSim) -> u64 {
    sim.nodes.iter().map(|node| node.feed.traffic().bytes_sent).sum()
}

fn n_reads(sim: &FleetSim) -> u64 {
    sim.nodes.iter().map(|node| node.feed.traffic().platform_reads).sum()
}

/// Runs a fleet with random partitions, outages, pauses, restarts, ring changes and settings changes.
///
/// Returns the number of changes that were reported as confirmed, or the first violation.
fn run_with_random_faults(
    n_nodes: usize,
    seed: u64,
    fault: ProtocolFault,
) -> Result<usize, String> {
    let mut sim = FleetSim::new(n_nodes, seed, fault);
    sim.run_for(Duration::from_secs(2));
    for _ in 0..(30_000 / STEP_MS) {
        if sim.rng.random_bool(0.01) {
            inject_fault(&mut sim);
        }
        if sim.rng.random_bool(0.01) {
            let idx = sim.rng.random_range(0..n_nodes);
            sim.store_change(idx);
        }
        sim.step();
        sim.check()?;
    }
    Ok(sim.reported_ms.len())
}

fn inject_fault(sim: &mut FleetSim) {
    let idx = sim.rng.random_range(0..sim.nodes.len());
    let other = sim.rng.random_range(0..sim.nodes.len());
    match sim.rng.random_range(0..10) {
        0 => sim.is_platform_down = !sim.is_platform_down,
        1 => sim.nodes[idx].is_platform_unreachable = !sim.nodes[idx].is_platform_unreachable,
        2 => sim.nodes[idx].is_isolated = !sim.nodes[idx].is_isolated,
        3 => sim.nodes[idx].paused_until_ms = sim.now_ms + sim.rng.random_range(10..8_000),
        4 => sim.restart(idx),
        5 => sim.replace_member(other % RING_SIZE, idx),
        6 => partition(sim),
        7 => sim.severed_links.clear(),
        8 => sim.severed_links.push((idx, other)),
        _ => {
            sim.is_platform_down = false;
            sim.nodes.iter_mut().for_each(|node| node.is_isolated = false);
            sim.nodes.iter_mut().for_each(|node| node.is_platform_unreachable = false);
        }
    }
}

/// Partitions the fleet into two sides, of which only one reaches the platform.
fn partition(sim: &mut FleetSim) {
    let sides = sim.nodes.iter().map(|_| sim.rng.random_bool(0.5)).collect::<Vec<_>>();
    sim.severed_links.clear();
    for first in 0..sides.len() {
        sim.nodes[first].is_platform_unreachable = sides[first];
        let others = (0..sides.len()).filter(|second| sides[first] != sides[*second]);
        sim.severed_links.extend(others.map(|second| (first, second)));
    }
}

fn check_fault_is_detected(fault: ProtocolFault) {
    let detected =
        (0..300).find_map(|seed| run_with_random_faults(5, seed, fault).err().map(|it| (seed, it)));
    eprintln!("{fault:?} is detected by {detected:?}");
    assert!(detected.is_some(), "{fault:?} was not detected in 300 runs");
}

#[test]
fn settled_fleet_serves_and_confirms_within_a_second() {
    let mut sim = settled_fleet(9);
    assert_eq!(n_serving(&sim), 9);
    sim.store_change(4);
    sim.run_for(Duration::from_secs(1));
    assert_eq!(sim.reported_ms.len(), 1);
    sim.run_for(Duration::from_secs(1));
    assert!(sim.nodes.iter().all(|node| node.feed.revision() == Revision(1)));
    assert_eq!(n_serving(&sim), 9);
}

#[test]
fn platform_outage_alone_stops_no_daemon() {
    let mut sim = settled_fleet(9);
    sim.is_platform_down = true;
    for _ in 0..120 {
        sim.run_for(Duration::from_millis(500));
        assert_eq!(n_serving(&sim), 9, "after {} ms", sim.now_ms);
    }
}

#[test]
fn isolated_daemon_stops_within_the_reliance_time() {
    let mut sim = settled_fleet(5);
    sim.nodes[4].is_isolated = true;
    sim.run_for(Duration::from_millis(3_100));
    assert!(!sim.serves(4));
    assert_eq!(n_serving(&sim), 4);
    sim.nodes[4].is_isolated = false;
    sim.run_for(Duration::from_secs(2));
    assert!(sim.serves(4));
}

#[test]
fn minority_without_platform_stops_and_majority_keeps_serving() {
    let mut sim = settled_fleet(5);
    sim.is_platform_down = true;
    sim.severed_links = vec![(0, 1), (0, 2), (0, 4), (3, 1), (3, 2), (3, 4)];
    sim.run_for(Duration::from_secs(4));
    let serving = (0..5).map(|idx| sim.serves(idx)).collect::<Vec<_>>();
    assert_eq!(serving, [false, true, true, false, true]);
}

#[test]
fn restarted_daemon_recovers_from_its_peers_in_an_outage() {
    let mut sim = settled_fleet(5);
    sim.store_change(1);
    sim.run_for(Duration::from_secs(1));
    sim.is_platform_down = true;
    sim.restart(4);
    assert!(!sim.serves(4));
    sim.run_for(Duration::from_secs(3));
    assert!(sim.serves(4));
    assert_eq!(sim.nodes[4].feed.tree(), &support::fleet::tree_of(&sim.changes));
}

#[test]
fn change_without_a_majority_is_not_confirmed() {
    let mut sim = settled_fleet(5);
    sim.nodes[1].is_isolated = true;
    sim.nodes[2].is_isolated = true;
    sim.store_change(0);
    sim.run_for(Duration::from_secs(5));
    assert_eq!(sim.reported_ms, []);
    sim.nodes[1].is_isolated = false;
    sim.run_for(Duration::from_secs(2));
    assert_eq!(sim.reported_ms.len(), 1);
}

#[test]
fn cost_of_propagation_does_not_grow_with_the_fleet() {
    for n_nodes in [30, 120] {
        let mut sim = settled_fleet(n_nodes);
        let (bytes_before, evidence_before) = (feed_bytes(&sim), sim.evidence_bytes);
        let reads_before = n_reads(&sim);
        let mut longest_ms = 0;
        for _ in 0..5 {
            sim.store_change(n_nodes / 2);
            let stored_ms = sim.now_ms;
            let target = Revision(sim.changes.len() as u64);
            while sim.nodes.iter().any(|node| node.feed.revision() < target) {
                sim.step();
            }
            longest_ms = longest_ms.max(sim.now_ms - stored_ms);
            sim.run_for(Duration::from_millis(3_000 - (sim.now_ms - stored_ms).min(3_000)));
        }
        let per_daemon_s = 15 * n_nodes as u64;
        let feed_rate = (feed_bytes(&sim) - bytes_before) / per_daemon_s;
        let evidence_rate = (sim.evidence_bytes - evidence_before) / per_daemon_s;
        let reads_per_s = (n_reads(&sim) - reads_before) as f64 / 15.0;
        eprintln!(
            "{n_nodes} daemons: feed {feed_rate} B/s, evidence {evidence_rate} B/s per daemon, \
             {reads_per_s:.1} platform reads/s in total, in force after at most {longest_ms} ms"
        );
        assert!(feed_rate + evidence_rate < 1_000 && longest_ms < 2_000 && reads_per_s < 30.0);
        assert_eq!(n_serving(&sim), n_nodes);
    }
}

#[test]
fn only_pollers_read_while_there_are_no_settings() {
    let mut sim = settled_fleet(60);
    let reads_before = n_reads(&sim);
    sim.run_for(Duration::from_secs(5));
    assert!(n_reads(&sim) - reads_before < 5 * 30);
    assert_eq!(n_serving(&sim), 60);
}

#[test]
fn injected_protocol_faults_are_detected() {
    check_fault_is_detected(ProtocolFault::ReportWhenStored);
    check_fault_is_detected(ProtocolFault::AgeFromArrival);
    check_fault_is_detected(ProtocolFault::ReplacedMemberAttests);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    #[test]
    fn confirmed_withdrawal_is_in_force_on_every_serving_daemon(
        n_nodes in 3_usize..=5,
        seed in any::<u64>(),
    ) {
        let result = run_with_random_faults(n_nodes, seed, ProtocolFault::None);
        prop_assert!(result.is_ok(), "{result:?}");
    }
}
