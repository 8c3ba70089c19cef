//! Tests of the spread of settings and of the evidence that a daemon relies on.

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

const CALM: Duration = Duration::from_secs(5);

fn calm_fleet(n_nodes: usize) -> FleetSim {
    let mut sim = FleetSim::new(n_nodes, 7, ProtocolFault::None);
    sim.run_for(CALM);
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

/// Runs a fleet through random cuts, outages, pauses, restarts and ring changes, with changes all the time.
fn run_randomly(n_nodes: usize, seed: u64, fault: ProtocolFault) -> Result<usize, String> {
    let mut sim = FleetSim::new(n_nodes, seed, fault);
    sim.run_for(Duration::from_secs(2));
    for _ in 0..(30_000 / STEP_MS) {
        if sim.rng.random_bool(0.01) {
            disturb(&mut sim);
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

fn disturb(sim: &mut FleetSim) {
    let idx = sim.rng.random_range(0..sim.nodes.len());
    let other = sim.rng.random_range(0..sim.nodes.len());
    match sim.rng.random_range(0..10) {
        0 => sim.is_platform_down = !sim.is_platform_down,
        1 => sim.nodes[idx].lacks_platform = !sim.nodes[idx].lacks_platform,
        2 => sim.nodes[idx].is_cut_off = !sim.nodes[idx].is_cut_off,
        3 => sim.nodes[idx].paused_until_ms = sim.now_ms + sim.rng.random_range(10..8_000),
        4 => sim.restart(idx),
        5 => sim.replace_member(other % RING_SIZE, idx),
        6 => split(sim),
        7 => sim.cuts.clear(),
        8 => sim.cuts.push((idx, other)),
        _ => {
            sim.is_platform_down = false;
            sim.nodes.iter_mut().for_each(|node| node.is_cut_off = false);
            sim.nodes.iter_mut().for_each(|node| node.lacks_platform = false);
        }
    }
}

/// Cuts the fleet into two parts, of which one reaches the platform.
fn split(sim: &mut FleetSim) {
    let parts = sim.nodes.iter().map(|_| sim.rng.random_bool(0.5)).collect::<Vec<_>>();
    sim.cuts.clear();
    for left in 0..parts.len() {
        sim.nodes[left].lacks_platform = parts[left];
        let others = (0..parts.len()).filter(|right| parts[left] != parts[*right]);
        sim.cuts.extend(others.map(|right| (left, right)));
    }
}

fn check_found(fault: ProtocolFault) {
    let found = (0..300).find_map(|seed| run_randomly(5, seed, fault).err().map(|it| (seed, it)));
    eprintln!("{fault:?} is found by {found:?}");
    assert!(found.is_some(), "{fault:?} was not found in 300 runs");
}

#[test]
fn calm_fleet_serves_and_confirms_within_a_second() {
    let mut sim = calm_fleet(9);
    assert_eq!(n_serving(&sim), 9);
    sim.store_change(4);
    sim.run_for(Duration::from_secs(1));
    assert_eq!(sim.reported_ms.len(), 1);
    sim.run_for(Duration::from_secs(1));
    assert!(sim.nodes.iter().all(|node| node.feed.revision() == Revision(1)));
    assert_eq!(n_serving(&sim), 9);
}

#[test]
fn platform_outage_alone_stops_nobody() {
    let mut sim = calm_fleet(9);
    sim.is_platform_down = true;
    for _ in 0..120 {
        sim.run_for(Duration::from_millis(500));
        assert_eq!(n_serving(&sim), 9, "after {} ms", sim.now_ms);
    }
}

#[test]
fn daemon_without_platform_and_peers_stops_within_the_reliance() {
    let mut sim = calm_fleet(5);
    sim.nodes[4].is_cut_off = true;
    sim.run_for(Duration::from_millis(3_100));
    assert!(!sim.serves(4));
    assert_eq!(n_serving(&sim), 4);
    sim.nodes[4].is_cut_off = false;
    sim.run_for(Duration::from_secs(2));
    assert!(sim.serves(4));
}

#[test]
fn minority_without_platform_stops_and_majority_goes_on() {
    let mut sim = calm_fleet(5);
    sim.is_platform_down = true;
    sim.cuts = vec![(0, 1), (0, 2), (0, 4), (3, 1), (3, 2), (3, 4)];
    sim.run_for(Duration::from_secs(4));
    let serving = (0..5).map(|idx| sim.serves(idx)).collect::<Vec<_>>();
    assert_eq!(serving, [false, true, true, false, true]);
}

#[test]
fn empty_handed_daemon_is_helped_by_its_peers_in_an_outage() {
    let mut sim = calm_fleet(5);
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
    let mut sim = calm_fleet(5);
    sim.nodes[1].is_cut_off = true;
    sim.nodes[2].is_cut_off = true;
    sim.store_change(0);
    sim.run_for(Duration::from_secs(5));
    assert_eq!(sim.reported_ms, []);
    sim.nodes[1].is_cut_off = false;
    sim.run_for(Duration::from_secs(2));
    assert_eq!(sim.reported_ms.len(), 1);
}

#[test]
fn cost_of_the_spread_does_not_grow_with_the_fleet() {
    for n_nodes in [30, 120] {
        let mut sim = calm_fleet(n_nodes);
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
            "{n_nodes} daemons: feed {feed_rate} B/s, evidence {evidence_rate} B/s for each, \
             {reads_per_s:.1} reads/s in all, in force after at most {longest_ms} ms"
        );
        assert!(feed_rate + evidence_rate < 1_000 && longest_ms < 2_000 && reads_per_s < 30.0);
        assert_eq!(n_serving(&sim), n_nodes);
    }
}

#[test]
fn fleet_without_settings_leaves_reading_to_the_pollers() {
    let mut sim = calm_fleet(60);
    let reads_before = n_reads(&sim);
    sim.run_for(Duration::from_secs(5));
    assert!(n_reads(&sim) - reads_before < 5 * 30);
    assert_eq!(n_serving(&sim), 60);
}

#[test]
fn faults_of_the_protocol_are_found() {
    check_found(ProtocolFault::ReportWhenStored);
    check_found(ProtocolFault::AgeFromArrival);
    check_found(ProtocolFault::ReplacedMemberSpeaks);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    #[test]
    fn reported_withdrawal_is_in_force_wherever_keys_are_served(
        n_nodes in 3_usize..=5,
        seed in any::<u64>(),
    ) {
        let result = run_randomly(n_nodes, seed, ProtocolFault::None);
        prop_assert!(result.is_ok(), "{result:?}");
    }
}
