//! Sends signals to the daemons and restarts those that have exited.

use std::time::Duration;

use anyhow::Result;
use ivytrail_fakes::process::ChildSignal;
use tokio::time::Instant;

use super::RECOVERY_TIME;
use crate::site::TestSite;

/// Timeout from SIGTERM to a daemon's exit: its shutdown grace period of 6 s, and 2 s for a busy machine.
const EXIT_TIMEOUT: Duration = Duration::from_secs(8);
/// Time after a resume during which a daemon's responses may still be late.
const RESUME_TOLERANCE: Duration = Duration::from_millis(1_000);

/// Time after SIGTERM at which clients stop using a daemon: the platform probes its readiness every second and
/// removes it after two failures.
const CLIENT_REROUTE_DELAY: Duration = Duration::from_secs(2);

/// Time range in which an instance's daemon could not serve.
#[derive(Clone, Copy, Debug)]
pub(super) struct ProcessOutage {
    pub(super) instance: usize,
    pub(super) from: Instant,
    pub(super) until: Instant,
}

/// A daemon that has received SIGTERM and has not exited.
#[derive(Clone, Copy, Debug)]
struct PendingExit {
    requested_at: Instant,
    deadline: Instant,
}

/// Restarts daemons that have exited, as the platform does.
#[derive(Debug)]
pub(super) struct Supervisor {
    /// Pending exit of each instance's daemon, if it has received SIGTERM.
    pending_exits: Vec<Option<PendingExit>>,
    killed: Vec<bool>,
    suspended: Vec<bool>,
    pub(super) process_outages: Vec<ProcessOutage>,
}

impl Supervisor {
    pub(super) fn new(n_instances: usize) -> Supervisor {
        Supervisor {
            pending_exits: vec![None; n_instances],
            killed: vec![false; n_instances],
            suspended: vec![false; n_instances],
            process_outages: Vec::new(),
        }
    }

    /// Returns whether any daemon was killed or terminated and has not been restarted.
    pub(super) fn has_pending_restart(&self) -> bool {
        self.pending_exits.iter().any(Option::is_some) || self.killed.contains(&true)
    }

    pub(super) fn suspend(&mut self, site: &TestSite, instance: usize) -> Result<()> {
        if self.killed[instance] {
            return Ok(());
        }
        self.suspended[instance] = true;
        site.daemons[instance].signal(ChildSignal::Stop)
    }

    pub(super) fn reload_settings(&self, site: &TestSite, instance: usize) -> Result<()> {
        match self.killed[instance] {
            true => Ok(()),
            false => site.daemons[instance].signal(ChildSignal::HangUp),
        }
    }

    pub(super) fn resume(
        &mut self,
        site: &TestSite,
        instance: usize,
        suspended_for: Duration,
    ) -> Result<()> {
        if std::mem::take(&mut self.suspended[instance]) {
            let now = Instant::now();
            let until = now + RESUME_TOLERANCE;
            self.process_outages.push(ProcessOutage { instance, from: now - suspended_for, until });
            if let Some(pending_exit) = &mut self.pending_exits[instance] {
                pending_exit.deadline += suspended_for;
            }
            site.daemons[instance].signal(ChildSignal::Continue)?;
        }
        Ok(())
    }

    pub(super) fn kill(&mut self, site: &mut TestSite, instance: usize) -> Result<()> {
        self.killed[instance] = true;
        self.suspended[instance] = false;
        let now = Instant::now();
        self.process_outages.push(ProcessOutage {
            instance,
            from: now,
            until: now + RECOVERY_TIME,
        });
        site.daemons[instance].kill()
    }

    pub(super) fn terminate(&mut self, site: &TestSite, instance: usize) -> Result<()> {
        if self.killed[instance] {
            return Ok(());
        }
        if self.pending_exits[instance].is_none() {
            let requested_at = Instant::now();
            self.pending_exits[instance] =
                Some(PendingExit { requested_at, deadline: requested_at + EXIT_TIMEOUT });
        }
        site.terminate(instance)
    }

    /// Restarts daemons that have exited and records unexpected or overdue exits as violations.
    pub(super) fn restart_exited(
        &mut self,
        site: &mut TestSite,
        violations: &mut Vec<String>,
    ) -> Result<()> {
        for instance in 0..site.daemons.len() {
            let now = Instant::now();
            let is_overdue = self.pending_exits[instance].is_some_and(|it| it.deadline < now);
            if is_overdue && !self.suspended[instance] {
                violations.push(format!(
                    "instance {instance} is still running after its shutdown grace period"
                ));
                self.kill(site, instance)?;
            }
            let Some(is_success) = site.daemons[instance].exit_success() else { continue };
            let is_expected =
                self.killed[instance] || (is_success && self.pending_exits[instance].is_some());
            if !is_expected {
                violations.push(format!("instance {instance} exited unexpectedly"));
            }
            self.killed[instance] = false;
            self.suspended[instance] = false;
            let from = self.pending_exits[instance]
                .map_or(now, |it| it.requested_at + CLIENT_REROUTE_DELAY)
                .min(now);
            self.process_outages.push(ProcessOutage { instance, from, until: now + RECOVERY_TIME });
            self.pending_exits[instance] = None;
            site.daemons[instance] = site.start_daemon(instance)?;
        }
        Ok(())
    }
}
