//! Measures the time that one routing or admission decision takes and prints JSON lines.
//!
//! Run it with `cargo run --release --example measure_cost`. Values are medians of [`N_RUNS`] runs on one thread.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use ivytrail::{
    admission::{AdmissionOptions, AdmissionQueue, AdmissionRequest, AdmissionVerdict, RunSample},
    id::{AccountName, AttemptId, MemberId, ServiceName},
    message::LoadReport,
    routing::{RoutingOptions, UpstreamInfo, UpstreamPicker},
    settings::PriorityClass,
    time::TimePoint,
};
use serde_json::json;

const N_RUNS: usize = 5;
const N_CALLS: u64 = 200_000;

fn main() {
    for n_upstreams in [20, 6_800] {
        print_median(
            "routing_ns",
            &format!("pick, sent and reply at {n_upstreams} upstreams"),
            || run_routing(n_upstreams),
        );
    }
    for n_accounts in [8, 1_000] {
        let case = format!("offer, refusal and finish at 2x load, {n_accounts} accounts");
        print_median("admission_ns", &case, || run_admission(n_accounts));
    }
}

fn print_median<F>(measure: &str, case: &str, run: F)
where
    F: Fn(),
{
    let mut values: Vec<u128> = (0..N_RUNS)
        .map(|_| {
            let start = Instant::now();
            run();
            start.elapsed().as_nanos() / u128::from(N_CALLS)
        })
        .collect();
    values.sort_unstable();
    let value = values[N_RUNS / 2] as u64;
    println!(
        "{}",
        json!({"measure": measure, "case": case, "value": value, "unit": "ns", "runs": N_RUNS})
    );
}

fn run_routing(n_upstreams: u64) {
    let service = ServiceName::from("booking");
    let mut picker = UpstreamPicker::new(RoutingOptions::new("kolkata".into(), 1));
    for idx in 0..n_upstreams {
        let domain = if idx % 3 == 0 { "kolkata" } else { "durgapur" };
        let service = service.clone();
        let info =
            UpstreamInfo { member: member(idx), domain: domain.into(), service, draining: false };
        picker.upsert(TimePoint::ORIGIN, info);
    }
    for idx in 0..N_CALLS {
        let now = TimePoint::from_micros(idx * 100);
        let picked = picker.pick(now, &service, &[]).expect("there are upstreams");
        picker.record_sent(now, &picked);
        let load = LoadReport {
            in_flight: 5,
            limit: 20,
            queued: 0,
            level_threshold: u16::MAX,
            chain_threshold: u16::MAX,
        };
        picker.record_reply(now, &picked, load, Duration::from_millis(10), true);
    }
}

fn run_admission(n_accounts: u64) {
    let mut queue = AdmissionQueue::new(AdmissionOptions::default());
    let (mut out, mut running) = (Vec::new(), VecDeque::new());
    queue.set_slots(TimePoint::ORIGIN, 160, &mut out);
    for serial in 0..N_CALLS {
        let now = TimePoint::from_micros(serial * 32);
        let deadline = now.plus(Duration::from_secs(1));
        let account = Some(AccountName::from(format!("account-{}", serial % n_accounts)));
        let request = AdmissionRequest {
            attempt: attempt(serial),
            class: PriorityClass::Normal,
            level: (serial * 40_503 % 16_384) as u16 | 1 << 14,
            account,
            weight: 1.0,
            deadline,
            max_wait: Duration::from_millis(50),
        };
        queue.offer(now, request, &mut out);
        // Every second attempt finishes and frees its slot: the load is twice the capacity, and the rest is refused.
        if 320 <= serial && serial.is_multiple_of(2) {
            let attempt = running.pop_front().expect("all slots are in use");
            let sample = RunSample::Completed { latency: Duration::from_millis(10) };
            queue.finish(now, &attempt, sample, &mut out);
        }
        running.extend(out.drain(..).filter_map(|verdict| match verdict {
            AdmissionVerdict::Run { attempt } => Some(attempt),
            AdmissionVerdict::Refuse { .. } => None,
        }));
    }
}

fn member(idx: u64) -> MemberId {
    MemberId { instance: format!("booking-{idx}").into(), incarnation: 1 }
}

fn attempt(serial: u64) -> AttemptId {
    AttemptId { entry: member(0), serial }
}
