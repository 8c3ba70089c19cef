//! Simulates the membership protocol without sockets and prints JSON lines: traffic and processing time per member, and
//! the time until a join, a drain or a failure is known. The arguments are the fleet sizes.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use ivytrail::{
    id::{DomainName, InstanceName, MemberId, ServiceName},
    membership::{GossipMessage, MemberRecord, MemberState, MemberView, MembershipOptions},
    time::TimePoint,
};

const TICK: Duration = Duration::from_millis(200);
const N_DOMAINS: usize = 3;
const N_SERVICES: usize = 20;
const DEFAULT_SIZES: [usize; 3] = [50, 200, 800];
/// Larger fleets start with complete member lists, since simulating a simultaneous start takes too long.
const MAX_SIMULTANEOUS_START: usize = 1_000;
/// Overhead per message of an HTTP request and its empty response on a persistent connection.
const HTTP_BYTES: usize = 250;

/// Membership views of all members, which exchange messages in virtual time.
struct MemberFleet {
    now: TimePoint,
    views: Vec<MemberView>,
    ids: BTreeMap<MemberId, usize>,
    dead: Vec<usize>,
    n_messages: usize,
    n_bytes: usize,
    /// Bytes that each member sent since the last reset.
    sent_bytes: Vec<usize>,
    /// Elapsed time of all steps since the last reset.
    step_time: Duration,
}

fn record(idx: usize) -> MemberRecord {
    MemberRecord {
        member: MemberId {
            instance: InstanceName::from(format!("instance-{idx:05}")),
            incarnation: 1_760_000_000_000,
        },
        domain: DomainName::from(format!("domain-{}", idx % N_DOMAINS)),
        peer_address: format!("10.0.{}.{}:7400", idx / 250, idx % 250),
        service: Some(service(idx)),
        state: MemberState::Serving,
        version: 1,
        slots: 16,
    }
}

fn service(idx: usize) -> ServiceName {
    ServiceName::from(format!("service-{}", idx % N_SERVICES))
}

impl MemberFleet {
    fn new(n_members: usize) -> MemberFleet {
        let views = (0..n_members)
            .map(|it| MemberView::new(record(it), MembershipOptions::default(), it as u64));
        let mut fleet = MemberFleet {
            now: TimePoint::from_millis(1_000),
            views: views.collect(),
            ids: (0..n_members).map(|it| (record(it).member, it)).collect(),
            dead: Vec::new(),
            n_messages: 0,
            n_bytes: 0,
            sent_bytes: vec![0; n_members],
            step_time: Duration::ZERO,
        };
        for idx in 1..n_members {
            fleet.views[idx].import_record(fleet.now, &record(idx / 2));
        }
        fleet
    }

    /// Adds all members to every view, as after hours without changes.
    fn fill_views(&mut self) {
        for view in &mut self.views {
            (0..self.ids.len()).for_each(|it| view.import_record(self.now, &record(it)));
        }
    }

    fn step(&mut self) {
        self.now = self.now.plus(TICK);
        let start = Instant::now();
        let mut queue = VecDeque::new();
        for idx in 0..self.views.len() {
            let mut out = Vec::new();
            if !self.dead.contains(&idx) {
                self.views[idx].tick(self.now, &mut out);
            }
            queue.extend(out.into_iter().map(|(to, message)| (idx, to, message)));
        }
        // Replies arrive within the same tick; gossip waits for the next tick of the member that forwards it.
        while let Some((from, to, message)) = queue.pop_front() {
            self.count(from, &message);
            let to = self.ids[&to];
            if !self.dead.contains(&to) {
                let sender = self.views[from].local_record().member.clone();
                let mut out = Vec::new();
                self.views[to].receive(self.now, &sender, message, &mut out);
                queue.extend(out.into_iter().map(|(receiver, message)| (to, receiver, message)));
            }
        }
        self.step_time += start.elapsed();
    }

    fn count(&mut self, from: usize, message: &GossipMessage) {
        let len = rmp_serde::to_vec(message).map_or(0, |it| it.len());
        self.n_messages += 1;
        self.n_bytes += len;
        self.sent_bytes[from] += len;
    }

    fn reset(&mut self) {
        (self.n_messages, self.n_bytes, self.step_time) = (0, 0, Duration::ZERO);
        self.sent_bytes.iter_mut().for_each(|it| *it = 0);
    }

    /// Steps until `is_done` holds for the fraction `share` of the running members.
    ///
    /// Returns the elapsed time, or `None` after `limit`.
    fn run_until<F>(&mut self, limit: Duration, share: f64, is_done: F) -> Option<Duration>
    where
        F: Fn(&MemberView) -> bool,
    {
        let start = self.now;
        while self.now.since(start) < limit {
            self.step();
            let running = (0..self.views.len()).filter(|it| !self.dead.contains(it));
            let n_done = running.filter(|it| is_done(&self.views[*it])).count();
            if share * (self.views.len() - self.dead.len()) as f64 <= n_done as f64 {
                return Some(self.now.since(start));
            }
        }
        None
    }

    fn run(&mut self, interval: Duration) {
        let end = self.now.plus(interval);
        while self.now < end {
            self.step();
        }
    }
}

fn print(measure: &str, case: &str, value: f64, unit: &str) {
    println!(
        r#"{{"measure":"{measure}","case":"{case}","value":{value:.4},"unit":"{unit}","baseline":null,"runs":1}}"#
    );
}

/// Prints the traffic and processing time of the members over `interval`.
fn print_traffic(fleet: &MemberFleet, case: &str, interval: Duration) {
    let member_seconds = interval.as_secs_f64() * fleet.views.len() as f64;
    let bytes = fleet.n_bytes as f64 / member_seconds;
    let messages = fleet.n_messages as f64 / member_seconds;
    let busiest =
        fleet.sent_bytes.iter().max().copied().unwrap_or(0) as f64 / interval.as_secs_f64();
    print("membership_bytes", case, bytes, "B/s per member");
    print(
        "membership_bytes_with_http",
        case,
        bytes + messages * HTTP_BYTES as f64,
        "B/s per member",
    );
    print("membership_bytes_busiest", case, busiest, "B/s");
    print(
        "membership_cpu",
        case,
        fleet.step_time.as_secs_f64() / member_seconds * 100.0,
        "percent of a core per member",
    );
}

fn print_time(measure: &str, case: &str, time: Option<Duration>) {
    print(measure, case, time.map_or(-1.0, |it| it.as_secs_f64()), "s");
}

/// Adds a member that knows three peers, and measures how long it takes to discover the members of three services and
/// then all members.
fn measure_join(fleet: &mut MemberFleet, size: &str) {
    let idx = fleet.views.len();
    let mut view = MemberView::new(record(idx), MembershipOptions::default(), idx as u64);
    (0..3).for_each(|it| view.import_record(fleet.now, &record(it)));
    (0..3).for_each(|it| view.subscribe(fleet.now, service(it)));
    fleet.ids.insert(record(idx).member, idx);
    fleet.views.push(view);
    fleet.sent_bytes.push(0);
    let expected: Vec<MemberId> =
        (0..idx).filter(|it| it % N_SERVICES < 3).map(|it| record(it).member).collect();
    let start = fleet.now;
    let knows =
        |view: &MemberView, expected: &[MemberId]| expected.iter().all(|it| view.get(it).is_some());
    while !knows(&fleet.views[idx], &expected) && fleet.now.since(start) < Duration::from_secs(60) {
        fleet.step();
    }
    print("join_knows_its_services", size, fleet.now.since(start).as_secs_f64(), "s");
    while fleet.views[idx].members().count() < idx
        && fleet.now.since(start) < Duration::from_secs(600)
    {
        fleet.step();
    }
    print("join_knows_all", size, fleet.now.since(start).as_secs_f64(), "s");
}

fn measure(n_members: usize) {
    let size = format!("{n_members} members");
    let mut fleet = MemberFleet::new(n_members);
    if n_members <= MAX_SIMULTANEOUS_START {
        let limit = Duration::from_secs(600);
        let convergence = fleet.run_until(limit, 1.0, |it| it.members().count() == n_members);
        print_time("membership_whole_after_common_start", &size, convergence);
        print_traffic(&fleet, &format!("{size}, common start"), convergence.unwrap_or(limit));
    }

    fleet.fill_views();
    fleet.run(Duration::from_secs(60));
    fleet.reset();
    fleet.run(Duration::from_secs(60));
    print_traffic(&fleet, &format!("{size}, calm"), Duration::from_secs(60));

    measure_join(&mut fleet, &size);

    let now = fleet.now;
    fleet.views[7].announce(now, Some(service(7)), MemberState::Draining, 16);
    let drained = record(7).member;
    let is_known_draining =
        |it: &MemberView| it.get(&drained).is_some_and(|it| it.state == MemberState::Draining);
    let to_99_percent = fleet.run_until(Duration::from_secs(60), 0.99, is_known_draining);
    print_time("drain_known_to_99_percent", &size, to_99_percent);
    let remaining = fleet.run_until(Duration::from_secs(60), 1.0, is_known_draining);
    print_time(
        "drain_known_to_all",
        &size,
        to_99_percent.zip(remaining).map(|(first, remaining)| first + remaining),
    );

    fleet.dead = vec![9];
    let dead = record(9).member;
    let is_known_dead =
        |it: &MemberView| it.get(&dead).is_some_and(|it| it.state == MemberState::Dead);
    print_time(
        "death_known_to_99_percent",
        &size,
        fleet.run_until(Duration::from_secs(60), 0.99, is_known_dead),
    );

    // One state change per member and hour corresponds to a rolling replacement of the fleet in four hours.
    fleet.reset();
    let interval = Duration::from_secs(60);
    let n_changes = (n_members / 60).max(1);
    for idx in 0..n_changes {
        let now = fleet.now;
        let slots = 17 + idx as u32;
        fleet.views[10 + idx].announce(now, Some(service(10 + idx)), MemberState::Serving, slots);
        fleet.run(interval / n_changes as u32);
    }
    print_traffic(&fleet, &format!("{size}, {n_changes} changes a minute"), interval);
}

fn main() {
    let sizes: Vec<usize> = std::env::args().skip(1).filter_map(|it| it.parse().ok()).collect();
    let sizes = if sizes.is_empty() { DEFAULT_SIZES.to_vec() } else { sizes };
    sizes.into_iter().for_each(measure);
}
