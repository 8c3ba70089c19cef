//! Time until goodput is back after a disturbance.

use std::time::Duration;

use super::{CallRecord, CallResult, LoadPlan};

/// Width of the window in which goodput is counted.
const WINDOW: Duration = Duration::from_millis(250);

/// Step by which the window moves.
const STEP: Duration = Duration::from_millis(50);

/// Share of the goodput before that counts as recovered.
const RECOVERED_SHARE: f64 = 0.95;

/// Returns the time from `trigger_end` until the share of requests that end whole within their deadlines is back at
/// 95 % of what it was before `trigger_begin`, by the time at which requests were due. `None` means that the run
/// ended first.
pub fn recovery_time(
    plan: &LoadPlan,
    records: &[CallRecord],
    trigger_begin: Duration,
    trigger_end: Duration,
) -> Option<Duration> {
    let before = whole_share(plan, records, Duration::ZERO, trigger_begin)?;
    let mut from = trigger_end;
    loop {
        let share = whole_share(plan, records, from, from + WINDOW)?;
        if before * RECOVERED_SHARE <= share {
            return Some(from - trigger_end);
        }
        from += STEP;
    }
}

/// Returns whether the request ended whole within its deadline.
pub(super) fn is_in_time(plan: &LoadPlan, record: &CallRecord) -> bool {
    let deadline = Duration::from_millis(plan.kinds[record.kind].deadline_ms);
    record.result == CallResult::Complete && record.latency <= deadline
}

fn whole_share(
    plan: &LoadPlan,
    records: &[CallRecord],
    from: Duration,
    to: Duration,
) -> Option<f64> {
    let begin = records.partition_point(|record| record.due_at < from);
    let end = records.partition_point(|record| record.due_at < to);
    let sent = &records[begin..end];
    let whole = sent.iter().filter(|record| is_in_time(plan, record)).count();
    (!sent.is_empty()).then(|| whole as f64 / sent.len() as f64)
}
