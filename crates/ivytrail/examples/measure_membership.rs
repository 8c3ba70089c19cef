//! Measures the membership protocol without sockets: bytes per second and member, time until a drain or a death is
//! known, time per tick. Prints one JSON line per figure. The numbers of members are the arguments.

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
/// Above this, the run begins with whole lists: a common start takes too long.
const LARGEST_COMMON_START: usize = 1_000;
/// Bytes of an HTTP request and its empty answer around one message on a kept connection.
const HTTP_BYTES: usize = 250;

struct MemberFleet {
    now: TimePoint,
    views: Vec<MemberView>,
    ids: BTreeMap<MemberId, usize>,
    dead: Vec<usize>,
    n_messages: usize,
    n_bytes: usize,
    /// Greatest number of bytes that one member sent since the last reset.
    sent: Vec<usize>,
    busy: Duration,
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
            sent: vec![0; n_members],
            busy: Duration::ZERO,
        };
        for idx in 1..n_members {
            fleet.views[idx].import_record(fleet.now, &record(idx / 2));
        }
        fleet
    }

    /// Gives every view the whole list, as after hours of calm.
    fn fill(&mut self) {
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
        // Answers within a tick take no time; rumors wait for the next tick of their bearer.
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
        self.busy += start.elapsed();
    }

    fn count(&mut self, from: usize, message: &GossipMessage) {
        let len = rmp_serde::to_vec(message).map_or(0, |it| it.len());
        self.n_messages += 1;
        self.n_bytes += len;
        self.sent[from] += len;
    }

    fn reset(&mut self) {
        (self.n_messages, self.n_bytes, self.busy) = (0, 0, Duration::ZERO);
        self.sent.iter_mut().for_each(|it| *it = 0);
    }

    /// Steps until `is_done` holds for a part `share` of the members that run; returns the time it took.
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

    fn run(&mut self, span: Duration) {
        let end = self.now.plus(span);
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

/// Prints what members sent in `span`.
fn print_bytes(fleet: &MemberFleet, case: &str, span: Duration) {
    let member_seconds = span.as_secs_f64() * fleet.views.len() as f64;
    let bytes = fleet.n_bytes as f64 / member_seconds;
    let messages = fleet.n_messages as f64 / member_seconds;
    let most = fleet.sent.iter().max().copied().unwrap_or(0) as f64 / span.as_secs_f64();
    print("membership_bytes", case, bytes, "B/s per member");
    print(
        "membership_bytes_with_http",
        case,
        bytes + messages * HTTP_BYTES as f64,
        "B/s per member",
    );
    print("membership_bytes_busiest", case, most, "B/s");
    print(
        "membership_cpu",
        case,
        fleet.busy.as_secs_f64() / member_seconds * 100.0,
        "percent of a core per member",
    );
}

fn print_time(measure: &str, case: &str, time: Option<Duration>) {
    print(measure, case, time.map_or(-1.0, |it| it.as_secs_f64()), "s");
}

/// Adds a member that knows three peers and calls three services.
fn measure_join(fleet: &mut MemberFleet, size: &str) {
    let idx = fleet.views.len();
    let mut view = MemberView::new(record(idx), MembershipOptions::default(), idx as u64);
    (0..3).for_each(|it| view.import_record(fleet.now, &record(it)));
    (0..3).for_each(|it| view.subscribe(fleet.now, service(it)));
    fleet.ids.insert(record(idx).member, idx);
    fleet.views.push(view);
    fleet.sent.push(0);
    let wanted: Vec<MemberId> =
        (0..idx).filter(|it| it % N_SERVICES < 3).map(|it| record(it).member).collect();
    let start = fleet.now;
    let knows =
        |view: &MemberView, wanted: &[MemberId]| wanted.iter().all(|it| view.get(it).is_some());
    while !knows(&fleet.views[idx], &wanted) && fleet.now.since(start) < Duration::from_secs(60) {
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
    if n_members <= LARGEST_COMMON_START {
        let limit = Duration::from_secs(600);
        let whole = fleet.run_until(limit, 1.0, |it| it.members().count() == n_members);
        print_time("membership_whole_after_common_start", &size, whole);
        print_bytes(&fleet, &format!("{size}, common start"), whole.unwrap_or(limit));
    }

    fleet.fill();
    fleet.run(Duration::from_secs(60));
    fleet.reset();
    fleet.run(Duration::from_secs(60));
    print_bytes(&fleet, &format!("{size}, calm"), Duration::from_secs(60));

    measure_join(&mut fleet, &size);

    let now = fleet.now;
    fleet.views[7].announce(now, Some(service(7)), MemberState::Draining, 16);
    let drained = record(7).member;
    let is_drained =
        |it: &MemberView| it.get(&drained).is_some_and(|it| it.state == MemberState::Draining);
    let most = fleet.run_until(Duration::from_secs(60), 0.99, is_drained);
    print_time("drain_known_to_99_percent", &size, most);
    let rest = fleet.run_until(Duration::from_secs(60), 1.0, is_drained);
    print_time("drain_known_to_all", &size, most.zip(rest).map(|(most, rest)| most + rest));

    fleet.dead = vec![9];
    let dead = record(9).member;
    let is_dead = |it: &MemberView| it.get(&dead).is_some_and(|it| it.state == MemberState::Dead);
    print_time(
        "death_known_to_99_percent",
        &size,
        fleet.run_until(Duration::from_secs(60), 0.99, is_dead),
    );

    // One change of state per member and hour is a rolling replacement of the whole fleet in four hours.
    fleet.reset();
    let span = Duration::from_secs(60);
    let n_changes = (n_members / 60).max(1);
    for idx in 0..n_changes {
        let now = fleet.now;
        let slots = 17 + idx as u32;
        fleet.views[10 + idx].announce(now, Some(service(10 + idx)), MemberState::Serving, slots);
        fleet.run(span / n_changes as u32);
    }
    print_bytes(&fleet, &format!("{size}, {n_changes} changes a minute"), span);
}

fn main() {
    let sizes: Vec<usize> = std::env::args().skip(1).filter_map(|it| it.parse().ok()).collect();
    let sizes = if sizes.is_empty() { DEFAULT_SIZES.to_vec() } else { sizes };
    sizes.into_iter().for_each(measure);
}
