//! Signals to the daemons, and their new starts.

use std::time::Duration;

use anyhow::Result;
use ivytrail_fakes::process::ChildSignal;
use tokio::time::Instant;

use super::RECOVERY;
use crate::site::TestSite;

/// Longest time from SIGTERM to the end of a daemon: its grace of 6 s, and 2 s for a busy machine.
const EXIT_PATIENCE: Duration = Duration::from_secs(8);
/// Time after a pause in which a daemon may still be late.
const PAUSE_SLACK: Duration = Duration::from_millis(1_000);

/// Time after SIGTERM from which clients go elsewhere: the platform asks once a second, and two misses count.
const LEAVE_NOTICE: Duration = Duration::from_secs(2);

/// A time in which an instance's own process could not serve.
#[derive(Clone, Copy, Debug)]
pub(super) struct ProcessFault {
    pub(super) instance: usize,
    pub(super) from: Instant,
    pub(super) until: Instant,
}

/// A daemon's way out.
#[derive(Clone, Copy, Debug)]
struct Leave {
    asked_at: Instant,
    end_by: Instant,
}

/// Starts daemons again that have ended, as the platform does.
#[derive(Debug)]
pub(super) struct Supervisor {
    /// Daemons that were asked to leave.
    leaving: Vec<Option<Leave>>,
    killed: Vec<bool>,
    paused: Vec<bool>,
    pub(super) process_faults: Vec<ProcessFault>,
}

impl Supervisor {
    pub(super) fn new(n_instances: usize) -> Supervisor {
        Supervisor {
            leaving: vec![None; n_instances],
            killed: vec![false; n_instances],
            paused: vec![false; n_instances],
            process_faults: Vec::new(),
        }
    }

    /// Returns whether a daemon has ended, or was asked to, and has not been started again.
    pub(super) fn is_any_ending(&self) -> bool {
        self.leaving.iter().any(Option::is_some) || self.killed.contains(&true)
    }

    pub(super) fn pause(&mut self, site: &TestSite, instance: usize) -> Result<()> {
        if self.killed[instance] {
            return Ok(());
        }
        self.paused[instance] = true;
        site.daemons[instance].signal(ChildSignal::Stop)
    }

    pub(super) fn hang_up(&self, site: &TestSite, instance: usize) -> Result<()> {
        match self.killed[instance] {
            true => Ok(()),
            false => site.daemons[instance].signal(ChildSignal::HangUp),
        }
    }

    pub(super) fn resume(
        &mut self,
        site: &TestSite,
        instance: usize,
        paused_for: Duration,
    ) -> Result<()> {
        if std::mem::take(&mut self.paused[instance]) {
            let now = Instant::now();
            let until = now + PAUSE_SLACK;
            self.process_faults.push(ProcessFault { instance, from: now - paused_for, until });
            if let Some(leave) = &mut self.leaving[instance] {
                leave.end_by += paused_for;
            }
            site.daemons[instance].signal(ChildSignal::Continue)?;
        }
        Ok(())
    }

    pub(super) fn kill(&mut self, site: &mut TestSite, instance: usize) -> Result<()> {
        self.killed[instance] = true;
        self.paused[instance] = false;
        let now = Instant::now();
        self.process_faults.push(ProcessFault { instance, from: now, until: now + RECOVERY });
        site.daemons[instance].kill()
    }

    pub(super) fn terminate(&mut self, site: &TestSite, instance: usize) -> Result<()> {
        if self.killed[instance] {
            return Ok(());
        }
        if self.leaving[instance].is_none() {
            let asked_at = Instant::now();
            self.leaving[instance] = Some(Leave { asked_at, end_by: asked_at + EXIT_PATIENCE });
        }
        site.terminate(instance)
    }

    /// Starts what has ended, and reports what ended otherwise than asked.
    pub(super) fn look(&mut self, site: &mut TestSite, violations: &mut Vec<String>) -> Result<()> {
        for instance in 0..site.daemons.len() {
            let now = Instant::now();
            let is_overdue = self.leaving[instance].is_some_and(|it| it.end_by < now);
            if is_overdue && !self.paused[instance] {
                violations.push(format!("instance {instance} is still there after its grace"));
                self.kill(site, instance)?;
            }
            let Some(is_success) = site.daemons[instance].exit_success() else { continue };
            let is_asked =
                self.killed[instance] || (is_success && self.leaving[instance].is_some());
            if !is_asked {
                violations.push(format!("instance {instance} ended by itself"));
            }
            self.killed[instance] = false;
            self.paused[instance] = false;
            let from = self.leaving[instance].map_or(now, |it| it.asked_at + LEAVE_NOTICE).min(now);
            self.process_faults.push(ProcessFault { instance, from, until: now + RECOVERY });
            self.leaving[instance] = None;
            site.daemons[instance] = site.start_daemon(instance)?;
        }
        Ok(())
    }
}
