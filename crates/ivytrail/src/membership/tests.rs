use std::time::Duration;

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

/// Members that exchange messages without delay; those in `cut` hear and say nothing.
struct Fleet {
    now: TimePoint,
    views: Vec<MemberView>,
    cut: Vec<usize>,
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
            view.learn(TimePoint::ORIGIN, &record("i0", 1));
        }
        Fleet { now: TimePoint::from_millis(1_000), views, cut: Vec::new() }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now.plus(span);
        while self.now < end {
            self.now = self.now.plus(Duration::from_millis(200));
            for idx in 0..self.views.len() {
                let mut out = Vec::new();
                self.views[idx].tick(self.now, &mut out);
                self.deliver(idx, out);
            }
        }
    }

    fn deliver(&mut self, idx: usize, out: Vec<(MemberId, GossipMessage)>) {
        let mut queue: Vec<(usize, MemberId, GossipMessage)> =
            out.into_iter().map(|(to, message)| (idx, to, message)).collect();
        while let Some((from, to, message)) = queue.pop() {
            let to = self.views.iter().position(|it| it.me.member == to);
            let Some(to) = to.filter(|it| !self.cut.contains(it) && !self.cut.contains(&from))
            else {
                continue;
            };
            let sender = self.views[from].me.member.clone();
            let mut out = Vec::new();
            self.views[to].receive(self.now, &sender, message, &mut out);
            queue.extend(out.into_iter().map(|(receiver, message)| (to, receiver, message)));
        }
    }

    fn states_of(&self, name: &str) -> Vec<Option<MemberState>> {
        let name = InstanceName::from(name);
        self.views.iter().map(|it| it.of_instance(&name).map(|it| it.state)).collect()
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
fn silent_member_is_held_dead_and_revives() {
    let mut fleet = Fleet::new(12);
    fleet.run(Duration::from_secs(20));
    fleet.cut = vec![5];
    fleet.run(Duration::from_secs(12));
    let n_dead = fleet.states_of("i5").iter().filter(|it| **it == Some(MemberState::Dead)).count();
    assert_eq!(n_dead, 11);
    fleet.cut.clear();
    fleet.run(Duration::from_secs(30));
    assert!(fleet.states_of("i5").iter().all(|it| *it == Some(MemberState::Starting)));
}

#[test]
fn newer_incarnation_ends_the_older() {
    let mut view = view("a");
    view.learn(TimePoint::ORIGIN, &record("b", 1));
    view.take_changes();
    view.learn(TimePoint::ORIGIN, &record("b", 2));
    view.learn(TimePoint::ORIGIN, &record("b", 1));
    let changes: Vec<_> =
        view.take_changes().into_iter().map(|it| (it.member.incarnation, it.state)).collect();
    assert_eq!(changes, [(1, MemberState::Dead), (2, MemberState::Starting)]);
    assert_eq!(view.get(&record("b", 1).member), None);
}

#[test]
fn accused_member_refutes_with_a_greater_version() {
    let mut view = view("a");
    let accusation = MemberRumor::Suspect { member: view.me.member.clone(), version: 1 };
    view.hear_rumor(TimePoint::ORIGIN, accusation);
    assert_eq!(view.own_record().version, 2);
}
