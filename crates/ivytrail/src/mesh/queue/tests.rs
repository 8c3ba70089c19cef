use super::*;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

fn request(key: u32, rank: QueueRank, start_by: u64) -> SlotRequest<u32> {
    SlotRequest { key, rank, root_start: at(0), start_by: at(start_by) }
}

fn queue_of(limit: u32) -> SlotQueue<u32> {
    let mut queue = SlotQueue::default();
    queue.set_limit(at(0), limit, &mut Vec::new());
    queue
}

fn offer(
    queue: &mut SlotQueue<u32>,
    now: u64,
    request: SlotRequest<u32>,
) -> Vec<SlotDecision<u32>> {
    let mut out = Vec::new();
    queue.offer(at(now), request, &mut out);
    out
}

#[test]
fn no_more_attempts_run_than_the_limit() {
    let mut queue = queue_of(2);
    let root = QueueRank::of_root(RootPriority::of_route(0));

    let decisions: Vec<_> =
        (0..3).flat_map(|key| offer(&mut queue, 0, request(key, root, 1_000))).collect();

    assert_eq!(decisions, [SlotDecision::Start(0), SlotDecision::Start(1)]);
    assert_eq!((queue.n_running(), queue.n_waiting()), (2, 1));
}

#[test]
fn nested_calls_precede_roots_and_urgent_attempts_precede_others() {
    let mut queue = queue_of(1);
    offer(&mut queue, 0, request(0, QueueRank::of_root(RootPriority::of_route(0)), 1_000));
    offer(&mut queue, 0, request(1, QueueRank::of_root(RootPriority::of_route(2)), 10_000));
    offer(&mut queue, 0, request(2, QueueRank::of_root(RootPriority::of_route(0)), 10_000));
    offer(&mut queue, 0, request(3, QueueRank::of_nested(RootPriority::of_route(2)), 10_000));
    offer(&mut queue, 0, request(4, QueueRank::of_nested(RootPriority::of_route(0)), 10_000));

    let mut order = Vec::new();
    for running in [0, 4, 3, 2] {
        let mut out = Vec::new();
        queue.release(at(1), &running, true, &mut out);
        order.extend(out);
    }

    let started = [4, 3, 2, 1].map(SlotDecision::Start);
    assert_eq!(order, started);
}

/// When call chains meet at an overloaded leaf, each call of the chain that began first is served first.
#[test]
fn calls_of_the_oldest_root_are_served_first() {
    let mut queue = queue_of(1);
    offer(&mut queue, 0, request(0, QueueRank::of_nested(RootPriority::of_route(2)), 10_000));
    for (key, root_start) in [(1, 30), (2, 10), (3, 20)] {
        let root_start = at(root_start);
        let later = SlotRequest {
            root_start,
            ..request(key, QueueRank::of_nested(RootPriority::of_route(2)), 10_000)
        };
        offer(&mut queue, 40, later);
    }

    let mut order = Vec::new();
    for running in [0, 2, 3] {
        let mut out = Vec::new();
        queue.release(at(50), &running, true, &mut out);
        order.extend(out);
    }

    assert_eq!(order, [2, 3, 1].map(SlotDecision::Start));
}

#[test]
fn an_attempt_that_cannot_start_in_time_is_refused_at_once() {
    let mut queue = queue_of(1);
    offer(&mut queue, 0, request(0, QueueRank::of_root(RootPriority::of_route(0)), 1_000));

    let decisions =
        offer(&mut queue, 0, request(1, QueueRank::of_root(RootPriority::of_route(0)), 20));

    assert!(matches!(decisions[..], [SlotDecision::Refuse { key: 1, .. }]), "{decisions:?}");
}

#[test]
fn an_attempt_that_has_waited_too_long_is_refused() {
    let mut queue = queue_of(1);
    offer(&mut queue, 0, request(0, QueueRank::of_root(RootPriority::of_route(0)), 1_000));
    offer(&mut queue, 0, request(1, QueueRank::of_root(RootPriority::of_route(0)), 150));

    let mut early = Vec::new();
    queue.expire(at(150), &mut early);
    let mut late = Vec::new();
    queue.expire(at(151), &mut late);

    assert_eq!(early, []);
    assert!(matches!(late[..], [SlotDecision::Refuse { key: 1, .. }]), "{late:?}");
}

#[test]
fn a_removed_attempt_never_starts() {
    let mut queue = queue_of(1);
    offer(&mut queue, 0, request(0, QueueRank::of_root(RootPriority::of_route(0)), 1_000));
    offer(&mut queue, 0, request(1, QueueRank::of_root(RootPriority::of_route(0)), 1_000));

    let was_waiting = queue.remove_waiting(&1);
    let mut out = Vec::new();
    queue.release(at(1), &0, true, &mut out);

    assert!(was_waiting);
    assert_eq!(out, []);
}

#[test]
fn without_slots_all_attempts_are_refused() {
    let mut queue = queue_of(0);

    let decisions =
        offer(&mut queue, 0, request(1, QueueRank::of_nested(RootPriority::of_route(0)), 1_000));

    assert!(matches!(decisions[..], [SlotDecision::Refuse { key: 1, .. }]));
}

proptest::proptest! {
    /// Under any sequence of offers, releases, removals and expiries, each attempt has at most one outcome and the limit
    /// holds.
    #[test]
    fn each_attempt_has_one_outcome(steps in proptest::collection::vec((0_u8..4, 0_u32..40, 0_u8..12), 1..300)) {
        let mut queue = queue_of(3);
        let mut outcomes = HashMap::new();
        for (n_step, (action, key, rank)) in steps.into_iter().enumerate() {
            let now = n_step as u64 * 7;
            let mut out = Vec::new();
            match action {
                0 | 1 if !queue.contains(&key) && !outcomes.contains_key(&key) => {
                    queue.offer(at(now), request(key, QueueRank(rank), now + 90), &mut out);
                }
                2 => queue.release(at(now), &key, true, &mut out),
                3 if queue.remove_waiting(&key) => {
                    proptest::prop_assert!(outcomes.insert(key, "removed").is_none());
                }
                _ => queue.expire(at(now), &mut out),
            }
            for decision in out {
                let (key, outcome) = match decision {
                    SlotDecision::Start(key) => (key, "started"),
                    SlotDecision::Refuse { key, .. } => (key, "refused"),
                };
                proptest::prop_assert!(outcomes.insert(key, outcome).is_none(), "attempt {key} has two outcomes");
            }
            proptest::prop_assert!(queue.n_running() <= 3);
        }
    }
}

/// A server that was overloaded gets no more work. If its pressure persisted, the entries would refuse all requests.
#[test]
fn the_pressure_decays_when_no_attempt_arrives() {
    let mut queue = queue_of(1);
    for key in 0..100 {
        let now = u64::from(key) * 5;
        offer(
            &mut queue,
            now,
            request(key, QueueRank::of_nested(RootPriority::of_route(0)), now + 20),
        );
    }
    assert!(0.3 < queue.pressure(), "{}", queue.pressure());

    for tick in 0..100 {
        queue.expire(at(600 + tick * 20), &mut Vec::new());
    }

    assert!(queue.pressure() < 0.05, "{}", queue.pressure());
}

#[test]
fn a_rate_limit_spaces_out_the_starts() {
    let mut queue = queue_of(10);
    queue.set_rate(at(0), Some(10.0), &mut Vec::new());

    let offered = (0..3)
        .flat_map(|key| {
            offer(
                &mut queue,
                100,
                request(key, QueueRank::of_root(RootPriority::of_route(0)), 1_000),
            )
        })
        .collect::<Vec<_>>();
    let mut later = Vec::new();
    queue.expire(at(150), &mut later);
    queue.expire(at(200), &mut later);

    assert_eq!(offered, [SlotDecision::Start(0)]);
    assert_eq!(later, [SlotDecision::Start(1)]);
    assert_eq!((queue.n_running(), queue.n_waiting()), (2, 1));
}

#[test]
fn an_attempt_that_the_rate_limit_would_delay_too_long_is_refused_at_once() {
    let mut queue = queue_of(10);
    queue.set_rate(at(0), Some(2.0), &mut Vec::new());

    let decisions =
        offer(&mut queue, 0, request(1, QueueRank::of_root(RootPriority::of_route(0)), 200));

    let retry_after = Duration::from_millis(500);
    assert_eq!(decisions, [SlotDecision::Refuse { key: 1, retry_after }]);
}

#[test]
fn attempts_start_at_once_when_the_rate_limit_is_lifted() {
    let mut queue = queue_of(10);
    queue.set_rate(at(0), Some(2.0), &mut Vec::new());
    for key in 0..3 {
        offer(&mut queue, 0, request(key, QueueRank::of_root(RootPriority::of_route(0)), 10_000));
    }

    let mut decisions = Vec::new();
    queue.set_rate(at(10), None, &mut decisions);

    assert_eq!(decisions, [0, 1, 2].map(SlotDecision::Start));
}

/// An account's priority precedes that of the route, and the route's decides among requests of equal account priority.
#[test]
fn ranks_follow_the_account_first_and_then_the_route() {
    let ordered = [
        QueueRank::of_nested(RootPriority::of_account(0, 2)),
        QueueRank::of_nested(RootPriority::of_account(1, 0)),
        QueueRank::of_nested(RootPriority::of_account(1, 2)),
        QueueRank::of_nested(RootPriority::of_route(200)),
        QueueRank::of_root(RootPriority::of_account(0, 6)),
        QueueRank::of_root(RootPriority::of_route(1)),
        QueueRank::of_root(RootPriority::of_account(1, 1)),
        QueueRank::of_root(RootPriority::of_account(250, 250)),
    ];

    assert!(ordered.is_sorted_by(|one, other| one < other), "{ordered:?}");
    for rank in ordered {
        let priority = rank.priority();
        let same = match rank.is_nested() {
            true => QueueRank::of_nested(priority),
            false => QueueRank::of_root(priority),
        };
        assert_eq!(same, rank);
    }
}
