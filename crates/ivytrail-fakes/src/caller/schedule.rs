//! Seeded schedule of an open-loop load.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::{AccountLoad, CallKind, LoadPhase, LoadPlan};

/// Request with its scheduled time.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledCall {
    /// Scheduled time, since the start of the run.
    pub due_at: Duration,
    /// Serial of the request, unique in the run.
    pub serial: String,
    /// Index of its kind in the plan.
    pub kind: usize,
    /// Index of its client account in the plan.
    pub account: usize,
    /// Index of its phase in the plan.
    pub phase: usize,
    /// Index of the entry for the first attempt.
    pub entry: usize,
}

/// Returns the plan's requests in scheduled order. The schedule is a deterministic function of the plan.
///
/// Arrivals of each client account are a Poisson process.
pub fn schedule_calls(plan: &LoadPlan) -> Vec<ScheduledCall> {
    let mut calls = Vec::new();
    for (idx, account) in plan.accounts.iter().enumerate() {
        let seed = plan.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(idx as u64);
        let mut rng = StdRng::seed_from_u64(seed);
        schedule_account(plan, idx, account, &mut rng, &mut calls);
    }
    calls.sort_by_key(|call| call.due_at);
    for (idx, call) in calls.iter_mut().enumerate() {
        call.serial = format!("{:x}-{idx}", plan.seed);
    }
    calls
}

fn schedule_account(
    plan: &LoadPlan,
    account_idx: usize,
    account: &AccountLoad,
    rng: &mut StdRng,
    calls: &mut Vec<ScheduledCall>,
) {
    let mut phase_start = Duration::ZERO;
    for (phase_idx, phase) in plan.phases.iter().enumerate() {
        let phase_end = phase_start + Duration::from_millis(phase.length_ms);
        let rate = account.offered_per_s * phase_factor(phase, account);
        let mut due_at = phase_start + interarrival_time(rate, rng);
        while due_at < phase_end {
            calls.push(ScheduledCall {
                due_at,
                serial: String::new(),
                kind: pick_kind(&plan.kinds, rng),
                account: account_idx,
                phase: phase_idx,
                entry: rng.random_range(0..plan.entries.len()),
            });
            due_at += interarrival_time(rate, rng);
        }
        phase_start = phase_end;
    }
}

/// Returns an exponentially distributed interarrival time with mean `1 / rate` seconds, at most one day.
fn interarrival_time(rate: f64, rng: &mut StdRng) -> Duration {
    const MAX_INTERARRIVAL_S: f64 = 86_400.0;
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64((-uniform.ln() / rate.max(f64::EPSILON)).min(MAX_INTERARRIVAL_S))
}

fn phase_factor(phase: &LoadPhase, account: &AccountLoad) -> f64 {
    phase.account_factors.get(&account.name).copied().unwrap_or(phase.factor)
}

fn pick_kind(kinds: &[CallKind], rng: &mut StdRng) -> usize {
    let total_weight: f64 = kinds.iter().map(|kind| kind.share).sum();
    let mut remaining_weight = rng.random_range(0.0..1.0) * total_weight;
    for (idx, kind) in kinds.iter().enumerate() {
        remaining_weight -= kind.share;
        if remaining_weight < 0.0 {
            return idx;
        }
    }
    kinds.len() - 1
}
