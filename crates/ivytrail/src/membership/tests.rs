use std::{collections::BTreeMap, time::Duration};

use proptest::prelude::*;
use rand::RngExt;

use super::*;
use crate::id::DomainName;

fn record(name: &str, incarnation: u64) -> MemberRecord {
    MemberRecord {
        member: MemberId { instance: InstanceName::from(name), incarnation },
        domain: DomainName::from("kolkata"),
        peer_address: format!("{name}:7400"),
        service: Some(ServiceName::from("booking")),
        state: MemberState::Starting,
        version: 1,
        slots: 4,
    }
}

fn view(name: &str) -> MemberView {
    MemberView::new(record(name, 1), MembershipOptions::default(), 7)
}

/// Members that exchange messages without delay. Those in `partitioned` reach only each other.
struct Fleet {
    now: TimePoint,
    views: Vec<MemberView>,
    partitioned: Vec<usize>,
    drop_percent: u32,
    /// Whether members can read each other's rows in the platform's table.
    is_table_up: bool,
    rng: StdRng,
}

impl Fleet {
    fn new(n_members: usize) -> Fleet {
        let names: Vec<String> = (0..n_members).map(|it| format!("i{it}")).collect();
        let mut views: Vec<MemberView> = (0..n_members)
            .map(|it| {
                MemberView::new(record(&names[it], 1), MembershipOptions::default(), it as u64)
            })
            .collect();
        for view in views.iter_mut().skip(1) {
            view.import_record(TimePoint::ORIGIN, &record("i0", 1));
        }
        Fleet {
            now: TimePoint::from_millis(1_000),
            views,
            partitioned: Vec::new(),
            drop_percent: 0,
            is_table_up: false,
            rng: StdRng::seed_from_u64(1),
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now.plus(span);
        while self.now < end {
            self.now = self.now.plus(Duration::from_millis(200));
            for idx in 0..self.views.len() {
                self.read_row(idx);
                let mut out = Vec::new();
                self.views[idx].tick(self.now, &mut out);
                self.deliver(idx, out);
            }
        }
    }

    /// Passes the row of another member to member `idx` if it has a read due.
    fn read_row(&mut self, idx: usize) {
        if self.views[idx].take_row_read_due(self.now) && self.is_table_up {
            let row = self.views[self.rng.random_range(0..self.views.len())].local_record.clone();
            self.views[idx].import_record(self.now, &row);
        }
    }

    fn deliver(&mut self, idx: usize, out: Vec<(MemberId, GossipMessage)>) {
        let mut queue: Vec<(usize, MemberId, GossipMessage)> =
            out.into_iter().map(|(to, message)| (idx, to, message)).collect();
        while let Some((from, to, message)) = queue.pop() {
            let to = self.views.iter().position(|it| it.local_record.member == to);
            let is_lost = self.rng.random_range(0..100) < self.drop_percent;
            let is_connected =
                |it: &usize| self.partitioned.contains(it) == self.partitioned.contains(&from);
            let Some(to) = to.filter(|it| !is_lost && is_connected(it)) else { continue };
            let sender = self.views[from].local_record.member.clone();
            let mut out = Vec::new();
            self.views[to].receive(self.now, &sender, message, &mut out);
            queue.extend(out.into_iter().map(|(receiver, message)| (to, receiver, message)));
        }
    }

    fn states_of(&self, name: &str) -> Vec<Option<MemberState>> {
        let name = InstanceName::from(name);
        self.views.iter().map(|it| it.by_instance(&name).map(|it| it.state)).collect()
    }
}

#[test]
fn joining_members_find_each_other() {
    let mut fleet = Fleet::new(30);
    fleet.run(Duration::from_secs(30));
    assert!(fleet.views.iter().all(|it| it.members().count() == 30));
}

#[test]
fn drain_reaches_all_within_two_seconds() {
    let mut fleet = Fleet::new(30);
    fleet.run(Duration::from_secs(30));
    let now = fleet.now;
    fleet.views[3].announce(now, Some(ServiceName::from("booking")), MemberState::Draining, 4);
    fleet.run(Duration::from_secs(2));
    assert!(fleet.states_of("i3").iter().all(|it| *it == Some(MemberState::Draining)));
}

#[test]
fn silent_member_is_declared_dead_and_revives() {
    let mut fleet = Fleet::new(12);
    fleet.run(Duration::from_secs(20));
    fleet.partitioned = vec![5];
    fleet.run(Duration::from_secs(12));
    let n_dead = fleet.states_of("i5").iter().filter(|it| **it == Some(MemberState::Dead)).count();
    assert_eq!(n_dead, 11);
    fleet.partitioned.clear();
    fleet.run(Duration::from_secs(30));
    assert!(fleet.states_of("i5").iter().all(|it| *it == Some(MemberState::Starting)));
}

#[test]
fn newer_incarnation_replaces_the_older() {
    let mut view = view("a");
    view.import_record(TimePoint::ORIGIN, &record("b", 1));
    view.take_changes();
    view.import_record(TimePoint::ORIGIN, &record("b", 2));
    view.import_record(TimePoint::ORIGIN, &record("b", 1));
    let changes: Vec<_> =
        view.take_changes().into_iter().map(|it| (it.member.incarnation, it.state)).collect();
    assert_eq!(changes, [(1, MemberState::Dead), (2, MemberState::Starting)]);
    assert_eq!(view.get(&record("b", 1).member), None);
}

#[test]
fn suspected_member_refutes_with_a_greater_version() {
    let mut view = view("a");
    let suspicion = MemberRumor::Suspect { member: view.local_record.member.clone(), version: 1 };
    view.handle_rumor(TimePoint::ORIGIN, suspicion);
    assert_eq!(view.local_record().version, 2);
}

#[test]
fn halves_of_a_partition_find_each_other_again() {
    let mut fleet = Fleet::new(12);
    fleet.run(Duration::from_secs(30));
    fleet.partitioned = (0..6).collect();
    fleet.run(Duration::from_secs(60));
    fleet.partitioned.clear();
    fleet.run(Duration::from_secs(90));
    let is_running =
        |it: &MemberView| it.members().filter(|it| !it.state.is_inactive()).count() == 12;
    assert!(fleet.views.iter().all(is_running));
}

#[test]
fn member_that_was_paused_suspects_nobody() {
    let mut fleet = Fleet::new(6);
    fleet.run(Duration::from_secs(10));
    let mut out = Vec::new();
    let (now, pause) = (fleet.now, Duration::from_secs(60));
    fleet.views[0].tick(now.plus(pause), &mut out);
    fleet.views[0].tick(now.plus(pause + Duration::from_millis(200)), &mut out);
    assert!(fleet.views[0].members().all(|it| !it.state.is_inactive()));
    assert_eq!(fleet.views[0].detector.suspicions().count(), 0);
}

#[test]
fn subscriber_learns_a_service_from_one_peer() {
    let mut fleet = Fleet::new(40);
    fleet.run(Duration::from_secs(40));
    let mut joiner = view("joiner");
    joiner.import_record(fleet.now, &record("i0", 1));
    joiner.subscribe(fleet.now, ServiceName::from("booking"));
    fleet.views.push(joiner);
    fleet.run(Duration::from_millis(600));
    assert_eq!(fleet.views[40].members().count(), 41);
}

#[test]
fn one_member_deletes_the_row_of_a_dead_one() {
    let mut fleet = Fleet::new(12);
    fleet.run(Duration::from_secs(20));
    let name = InstanceName::from("gone");
    assert_eq!(fleet.views.iter().filter(|it| it.is_row_cleaner(&name)).count(), 1);
}

fn orders(view: &MemberView) -> BTreeMap<InstanceName, (u64, u64)> {
    view.members()
        .map(|it| (it.member.instance.clone(), (it.member.incarnation, it.version)))
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, ..ProptestConfig::default() })]

    /// While members restart, change and are partitioned and messages are lost, records never decrease; afterwards
    /// all lists agree.
    #[test]
    fn records_never_decrease_and_lists_converge(
        steps in prop::collection::vec((0usize..8, 0u8..4, 1u64..6_000), 1..20),
        drop_percent in 0u32..40,
    ) {
        let mut fleet = Fleet::new(8);
        fleet.drop_percent = drop_percent;
        for (idx, action, span_ms) in steps {
            let now = fleet.now;
            match action {
                0 => {
                    let name = format!("i{idx}");
                    let newer = fleet.views[idx].local_record.member.incarnation + 1;
                    let mut view = MemberView::new(record(&name, newer), MembershipOptions::default(), newer);
                    view.import_record(now, &fleet.views[(idx + 1) % 8].local_record);
                    fleet.views[idx] = view;
                }
                1 => fleet.views[idx].announce(now, None, MemberState::Serving, span_ms as u32),
                2 => fleet.partitioned = vec![idx],
                _ => fleet.partitioned.clear(),
            }
            let before: Vec<_> = fleet.views.iter().map(orders).collect();
            fleet.run(Duration::from_millis(span_ms));
            for (view, before) in fleet.views.iter().zip(before) {
                let after = orders(view);
                prop_assert!(before.iter().all(|(name, order)| order <= &after[name]));
            }
        }
        fleet.partitioned.clear();
        fleet.drop_percent = 0;
        fleet.is_table_up = true;
        fleet.run(MembershipOptions::default().row_read_period * 2);
        let own: BTreeMap<_, _> =
            fleet.views.iter().map(|it| (it.local_record.member.instance.clone(), it.local_record.clone())).collect();
        for view in &fleet.views {
            let known: BTreeMap<_, _> =
                view.members().map(|it| (it.member.instance.clone(), it.clone())).collect();
            prop_assert_eq!(&known, &own);
        }
    }
}
