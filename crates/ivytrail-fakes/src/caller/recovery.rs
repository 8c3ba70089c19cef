//! Recovery time of goodput after a disturbance.

use std::time::Duration;

use super::{CallRecord, CallResult, LoadPlan};

/// Width of the sliding window over which goodput is measured.
const GOODPUT_WINDOW: Duration = Duration::from_millis(250);

/// Step of the sliding window.
const WINDOW_STEP: Duration = Duration::from_millis(50);

/// Fraction of the previous goodput that counts as recovered.
const RECOVERED_FRACTION: f64 = 0.95;

/// Returns the time from `disturbance_end` until the share of requests that complete within their deadlines, by
/// scheduled time, reaches 95 % of its value before `disturbance_start`. Returns `None` if the run ended first.
pub fn recovery_time(
    plan: &LoadPlan,
    records: &[CallRecord],
    disturbance_start: Duration,
    disturbance_end: Duration,
) -> Option<Duration> {
    let before = in_time_share(plan, records, Duration::ZERO, disturbance_start)?;
    let mut from = disturbance_end;
    loop {
        let share = in_time_share(plan, records, from, from + GOODPUT_WINDOW)?;
        if before * RECOVERED_FRACTION <= share {
            return Some(from - disturbance_end);
        }
        from += WINDOW_STEP;
    }
}

/// Returns whether the request completed within its deadline.
pub(super) fn is_in_time(plan: &LoadPlan, record: &CallRecord) -> bool {
    let deadline = Duration::from_millis(plan.kinds[record.kind].deadline_ms);
    record.result == CallResult::Complete && record.latency <= deadline
}

fn in_time_share(
    plan: &LoadPlan,
    records: &[CallRecord],
    from: Duration,
    to: Duration,
) -> Option<f64> {
    let begin = records.partition_point(|record| record.due_at < from);
    let end = records.partition_point(|record| record.due_at < to);
    let sent = &records[begin..end];
    let in_time = sent.iter().filter(|record| is_in_time(plan, record)).count();
    (!sent.is_empty()).then(|| in_time as f64 / sent.len() as f64)
}
