//! What goes wrong when, from a seed.

use std::time::Duration;

use derive_more::Display;
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use super::proxy::PathState;
use crate::site::table::TableMood;

/// Mean time between the starts of two faults.
const FAULT_INTERVAL: Duration = Duration::from_millis(450);
/// Bounds of a fault's length, in milliseconds.
const FAULT_MS: std::ops::Range<u64> = 150..2_500;
/// Bounds of a delay on a path, in milliseconds.
const DELAY_MS: std::ops::Range<u64> = 5..120;

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
    Path {
        /// The instance.
        instance: usize,
        /// Its path.
        path: PathKind,
        /// Towards the server.
        up: PathState,
        /// Towards the client.
        down: PathState,
        /// New connections are reset.
        is_refusing: bool,
    },
    /// Open connections of a path are reset.
    #[display("reset of {path}")]
    ResetOpen {
        /// The instance.
        instance: usize,
        /// Its path.
        path: PathKind,
    },
    /// Open connections of a path carry nothing any more.
    #[display("silence of {path}")]
    SilenceOpen {
        /// The instance.
        instance: usize,
        /// Its path.
        path: PathKind,
    },
    /// A daemon is paused.
    #[display("pause")]
    Pause {
        /// The instance.
        instance: usize,
    },
    /// A paused daemon goes on.
    #[display("continue")]
    Continue {
        /// The instance.
        instance: usize,
        /// How long it stood still.
        paused_for: Duration,
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
    #[display("hang-up")]
    HangUp {
        /// The instance.
        instance: usize,
    },
    /// The table treats calls otherwise.
    #[display("table {_0:?}")]
    Table(TableMood),
    /// The table drops its history.
    #[display("table forgets its history")]
    ForgetHistory,
    /// The operator sends settings that change nothing but their version.
    #[display("new settings")]
    NewSettings,
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
pub fn steps_of(seed: u64, span: Duration, n_instances: usize) -> Vec<FaultStep> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut at = Duration::ZERO;
    while at < span {
        let length = Duration::from_millis(rng.random_range(FAULT_MS));
        let instance = rng.random_range(0..n_instances);
        add_fault(&mut rng, &mut steps, at, length, instance);
        at += FAULT_INTERVAL.mul_f64(rng.random_range(0.2..1.8));
    }
    steps.sort_by_key(|it| it.at);
    steps
}

fn add_fault(
    rng: &mut SmallRng,
    steps: &mut Vec<FaultStep>,
    at: Duration,
    length: Duration,
    instance: usize,
) {
    let path = match rng.random_range(0..5) {
        0 | 1 => PathKind::Peer,
        2 | 3 => PathKind::Server,
        _ => PathKind::Table,
    };
    let mut add = |at, kind| steps.push(FaultStep { at, kind });
    let path_state =
        |up, down, is_refusing| FaultKind::Path { instance, path, up, down, is_refusing };
    let delay = PathState::Delayed(Duration::from_millis(rng.random_range(DELAY_MS)));
    let mut disturb = |state| {
        add(at, state);
        add(at + length, path_state(PathState::Open, PathState::Open, false));
    };
    match rng.random_range(0..14) {
        0 => disturb(path_state(delay, delay, false)),
        1 => disturb(path_state(PathState::Held, PathState::Open, false)),
        2 => disturb(path_state(PathState::Open, PathState::Held, false)),
        3 => disturb(path_state(PathState::Held, PathState::Held, false)),
        4 => {
            disturb(path_state(PathState::Open, PathState::Open, true));
            add(at, FaultKind::ResetOpen { instance, path });
        }
        5 => add(at, FaultKind::ResetOpen { instance, path }),
        6 => add(at, FaultKind::SilenceOpen { instance, path }),
        7 => {
            add(at, FaultKind::Pause { instance });
            add(at + length, FaultKind::Continue { instance, paused_for: length });
        }
        8 => add(at, FaultKind::Kill { instance }),
        9 => add(at, FaultKind::Terminate { instance }),
        10 => add(at, FaultKind::HangUp { instance }),
        11 => {
            let moods =
                [TableMood::Down, TableMood::Silent, TableMood::AnswerLost, TableMood::Slow];
            add(at, FaultKind::Table(moods[rng.random_range(0..moods.len())]));
            add(at + length, FaultKind::Table(TableMood::Good));
        }
        12 => add(at, FaultKind::ForgetHistory),
        _ => add(at, FaultKind::NewSettings),
    }
}
