//! What goes wrong when, from a seed.

use std::time::Duration;

use derive_more::Display;
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use super::proxy::DirectionState;
use crate::site::table::TableMode;

/// Mean time between the starts of two faults.
const MEAN_FAULT_INTERVAL: Duration = Duration::from_millis(450);
/// Bounds of a fault's length, in milliseconds.
const FAULT_DURATION_MS: std::ops::Range<u64> = 150..2_500;
/// Bounds of a delay on a path, in milliseconds.
const PATH_DELAY_MS: std::ops::Range<u64> = 5..120;

/// A path of an instance.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "kebab-case")]
pub enum PathKind {
    /// From other daemons.
    Peer,
    /// To its backend server.
    Server,
    /// To the table.
    Table,
}

/// One thing that is done to the site.
#[derive(Clone, Copy, Debug, Display)]
pub enum FaultKind {
    /// A path passes bytes on, later or not at all.
    #[display("path to {path}: up {up:?}, down {down:?}, refusing {is_refusing}")]
    SetPath {
        /// The instance.
        instance: usize,
        /// Its path.
        path: PathKind,
        /// Towards the server.
        up: DirectionState,
        /// Towards the client.
        down: DirectionState,
        /// New connections are reset.
        is_refusing: bool,
    },
    /// Open connections of a path are reset.
    #[display("reset of {path}")]
    ResetPath {
        /// The instance.
        instance: usize,
        /// Its path.
        path: PathKind,
    },
    /// Open connections of a path carry nothing any more.
    #[display("black hole on {path}")]
    BlackholePath {
        /// The instance.
        instance: usize,
        /// Its path.
        path: PathKind,
    },
    /// A daemon is paused.
    #[display("suspend")]
    Suspend {
        /// The instance.
        instance: usize,
    },
    /// A paused daemon goes on.
    #[display("resume")]
    Resume {
        /// The instance.
        instance: usize,
        /// How long it stood still.
        suspended_for: Duration,
    },
    /// A daemon is killed and started again.
    #[display("kill")]
    Kill {
        /// The instance.
        instance: usize,
    },
    /// A daemon is asked to leave and started again.
    #[display("terminate")]
    Terminate {
        /// The instance.
        instance: usize,
    },
    /// A daemon is asked to read its settings again.
    #[display("settings reload")]
    ReloadSettings {
        /// The instance.
        instance: usize,
    },
    /// The table treats calls otherwise.
    #[display("table mode {_0:?}")]
    SetTableMode(TableMode),
    /// The table drops its history.
    #[display("table history dropped")]
    CompactHistory,
    /// The operator sends settings that change nothing but their version.
    #[display("new configuration version")]
    PublishSettings,
}

/// A fault, or the end of one.
#[derive(Clone, Copy, Debug)]
pub struct FaultStep {
    /// Time since the start.
    pub at: Duration,
    /// What is done.
    pub kind: FaultKind,
}

/// Returns the steps of a seed for a site of `n_instances`, in order of time.
pub fn generate_steps(seed: u64, fault_duration: Duration, n_instances: usize) -> Vec<FaultStep> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut at = Duration::ZERO;
    while at < fault_duration {
        let duration = Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
        let instance = rng.random_range(0..n_instances);
        add_fault(&mut rng, &mut steps, at, duration, instance);
        at += MEAN_FAULT_INTERVAL.mul_f64(rng.random_range(0.2..1.8));
    }
    steps.sort_by_key(|it| it.at);
    steps
}

fn add_fault(
    rng: &mut SmallRng,
    steps: &mut Vec<FaultStep>,
    at: Duration,
    duration: Duration,
    instance: usize,
) {
    let path = match rng.random_range(0..5) {
        0 | 1 => PathKind::Peer,
        2 | 3 => PathKind::Server,
        _ => PathKind::Table,
    };
    let mut add = |at, kind| steps.push(FaultStep { at, kind });
    let set_path =
        |up, down, is_refusing| FaultKind::SetPath { instance, path, up, down, is_refusing };
    let delay = DirectionState::Delayed(Duration::from_millis(rng.random_range(PATH_DELAY_MS)));
    let mut add_with_end = |fault| {
        add(at, fault);
        add(at + duration, set_path(DirectionState::Open, DirectionState::Open, false));
    };
    match rng.random_range(0..14) {
        0 => add_with_end(set_path(delay, delay, false)),
        1 => add_with_end(set_path(DirectionState::Held, DirectionState::Open, false)),
        2 => add_with_end(set_path(DirectionState::Open, DirectionState::Held, false)),
        3 => add_with_end(set_path(DirectionState::Held, DirectionState::Held, false)),
        4 => {
            add_with_end(set_path(DirectionState::Open, DirectionState::Open, true));
            add(at, FaultKind::ResetPath { instance, path });
        }
        5 => add(at, FaultKind::ResetPath { instance, path }),
        6 => add(at, FaultKind::BlackholePath { instance, path }),
        7 => {
            add(at, FaultKind::Suspend { instance });
            add(at + duration, FaultKind::Resume { instance, suspended_for: duration });
        }
        8 => add(at, FaultKind::Kill { instance }),
        9 => add(at, FaultKind::Terminate { instance }),
        10 => add(at, FaultKind::ReloadSettings { instance }),
        11 => {
            let modes = [
                TableMode::Down,
                TableMode::Unresponsive,
                TableMode::ResponseLost,
                TableMode::Slow,
            ];
            add(at, FaultKind::SetTableMode(modes[rng.random_range(0..modes.len())]));
            add(at + duration, FaultKind::SetTableMode(TableMode::Normal));
        }
        12 => add(at, FaultKind::CompactHistory),
        _ => add(at, FaultKind::PublishSettings),
    }
}
