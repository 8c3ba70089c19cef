//! Services and request classes of a large fleet, and the loads on them.

use std::ops::Range;

/// Services with their number of servers, the slots of each, and the cycle of their servers' speeds.
pub const SERVICES: [ServiceSpec; 4] = [
    ServiceSpec { name: "tracker", n_servers: 30, slots: 61, speeds: &[0.6, 1.0, 1.4] },
    ServiceSpec { name: "booking", n_servers: 25, slots: 61, speeds: &[0.5, 1.0, 1.0, 1.5] },
    ServiceSpec { name: "launchops", n_servers: 12, slots: 61, speeds: &[0.7, 0.7, 1.6] },
    ServiceSpec { name: "quoting", n_servers: 28, slots: 16, speeds: &[0.6, 1.0, 1.4] },
];

/// The leaf service, whose slots are scarce.
pub const LEAF: usize = 3;
/// Fraction of the slots that guards use.
const USABLE_SLOT_FRACTION: f64 = 0.95;
/// Calls at the leaf that one call chain makes.
const LEAF_CALLS: f64 = 8.0;
/// Retries per request that the operators allow.
pub const RETRY_RATIO: f64 = 0.2;

/// Servers of one service.
pub struct ServiceSpec {
    pub name: &'static str,
    pub n_servers: usize,
    pub slots: u32,
    pub speeds: &'static [f64],
}

/// A class of requests.
pub struct ClassSpec {
    pub name: &'static str,
    /// Index in [`SERVICES`].
    pub service: usize,
    pub is_idempotent: bool,
    pub priority: u8,
    pub work_ms: f64,
    pub target_ms: u64,
    pub timeout_ms: u64,
    pub deadline_ms: u64,
    /// Share of the root requests; zero for nested calls.
    pub mix: f64,
    /// Index in [`CLASSES`] and number of the calls that a run makes.
    pub calls: Option<(usize, u32)>,
    /// Whether the calls are made at the same time.
    pub is_together: bool,
}

// Indexes in [`CLASSES`].
const TRACK_READ: usize = 0;
const BOOK_SLOT: usize = 1;
const LAUNCH_RELEASE: usize = 2;
const QUOTE_READ: usize = 3;
const SLOT_LEDGER: usize = 4;
const CREW_ROSTER: usize = 5;
const WX_WINDOW: usize = 6;

/// Indexes of the classes that clients send, the most valuable per slot of the leaf first.
pub const ROOTS: [usize; 4] = [LAUNCH_RELEASE, BOOK_SLOT, TRACK_READ, QUOTE_READ];

/// All classes; the last three are nested calls.
pub const CLASSES: [ClassSpec; 7] = [
    ClassSpec {
        name: "track-read",
        service: 0,
        is_idempotent: true,
        priority: 2,
        work_ms: 400.0,
        target_ms: 2_000,
        timeout_ms: 2_500,
        deadline_ms: 5_000,
        mix: 4.6 / 9.9,
        calls: Some((SLOT_LEDGER, 2)),
        is_together: true,
    },
    ClassSpec {
        name: "book-slot",
        service: 1,
        is_idempotent: false,
        priority: 0,
        work_ms: 520.0,
        target_ms: 2_500,
        timeout_ms: 3_000,
        deadline_ms: 5_000,
        mix: 2.3 / 9.9,
        calls: Some((CREW_ROSTER, 2)),
        is_together: true,
    },
    ClassSpec {
        name: "launch-release",
        service: 2,
        is_idempotent: false,
        priority: 0,
        work_ms: 280.0,
        target_ms: 800,
        timeout_ms: 1_500,
        deadline_ms: 3_000,
        mix: 1.8 / 9.9,
        calls: None,
        is_together: false,
    },
    ClassSpec {
        name: "quote-read",
        service: LEAF,
        is_idempotent: true,
        priority: 2,
        work_ms: 1_600.0,
        target_ms: 4_000,
        timeout_ms: 8_000,
        deadline_ms: 15_000,
        mix: 1.2 / 9.9,
        calls: None,
        is_together: false,
    },
    ClassSpec {
        name: "slot-ledger",
        service: 1,
        is_idempotent: true,
        priority: 0,
        work_ms: 15.0,
        target_ms: 1_000,
        timeout_ms: 2_500,
        deadline_ms: 2_500,
        mix: 0.0,
        calls: Some((CREW_ROSTER, 1)),
        is_together: false,
    },
    ClassSpec {
        name: "crew-roster",
        service: 2,
        is_idempotent: true,
        priority: 0,
        work_ms: 15.0,
        target_ms: 800,
        timeout_ms: 2_000,
        deadline_ms: 2_000,
        mix: 0.0,
        calls: Some((WX_WINDOW, 4)),
        is_together: false,
    },
    ClassSpec {
        name: "wx-window",
        service: LEAF,
        is_idempotent: true,
        priority: 0,
        work_ms: 100.0,
        target_ms: 300,
        timeout_ms: 700,
        deadline_ms: 700,
        mix: 0.0,
        calls: None,
        is_together: false,
    },
];

/// A load on the fleet.
#[derive(Clone)]
pub struct HeavyLoad {
    pub name: &'static str,
    /// Root requests per second outside bursts.
    pub roots_per_s: f64,
    pub length_s: f64,
    /// Seconds in which more users come, and the factor on their number.
    pub burst: (Range<f64>, f64),
    /// Seconds in which all servers of the leaf reject a share of their requests, and that share.
    pub rejections: (Range<f64>, f64),
    /// Share of the clients that ignore the announced delay and return at once.
    pub impatient: f64,
}

impl HeavyLoad {
    /// Returns all loads.
    pub fn all() -> Vec<HeavyLoad> {
        let calm = HeavyLoad {
            name: "calm",
            roots_per_s: 405.0,
            length_s: 12.0,
            burst: (0.0..0.0, 1.0),
            rejections: (0.0..0.0, 0.0),
            impatient: 0.0,
        };
        let burst = (2.0..10.0, 1.7);
        vec![
            calm.clone(),
            HeavyLoad { name: "burst", roots_per_s: 486.0, burst: burst.clone(), ..calm.clone() },
            HeavyLoad {
                name: "burst with impatient clients",
                roots_per_s: 486.0,
                burst,
                impatient: 0.4,
                ..calm.clone()
            },
            HeavyLoad { name: "leaf rejects", rejections: (3.0..9.0, 0.55), ..calm },
        ]
    }

    /// Returns the factor on the number of users at a time in seconds.
    pub fn factor_at(&self, seconds: f64) -> f64 {
        let (span, factor) = &self.burst;
        if span.contains(&seconds) { *factor } else { 1.0 }
    }

    /// Returns the share of their requests that the leaf's servers reject at a time in seconds.
    pub fn rejected_at(&self, seconds: f64) -> f64 {
        let (span, share) = &self.rejections;
        if span.contains(&seconds) { *share } else { 0.0 }
    }

    /// Returns a bound on the served share of each class: in each tenth of a second, the leaf's slots and the operators'
    /// retries go to the classes that need least of them for a unit of their worth.
    pub fn bound_by_class(&self) -> [f64; CLASSES.len()] {
        const STEP_S: f64 = 0.1;
        let leaf = &SERVICES[LEAF];
        let usable = (f64::from(leaf.slots) * USABLE_SLOT_FRACTION).floor() * leaf.n_servers as f64;
        let mut served = [0.0; CLASSES.len()];
        let mut offered = [0.0; CLASSES.len()];
        for n_step in 0..(self.length_s / STEP_S) as usize {
            let now = n_step as f64 * STEP_S;
            let rejected = self.rejected_at(now);
            let per_s = self.roots_per_s * self.factor_at(now);
            let mut slots = usable;
            // As many calls as the leaf's slots can run; retries are a share of them.
            let mut retries = RETRY_RATIO * usable / (CLASSES[WX_WINDOW].work_ms / 1_000.0);
            for idx in ROOTS {
                let class = &CLASSES[idx];
                let (n_arrivals, slot_s) = match (class.calls, class.service) {
                    (Some(_), _) => (LEAF_CALLS, LEAF_CALLS * CLASSES[WX_WINDOW].work_ms / 1_000.0),
                    (None, LEAF) => (1.0, class.work_ms / 1_000.0),
                    (None, _) => (0.0, 0.0),
                };
                let retries_per_root = n_arrivals * rejected / (1.0 - rejected);
                let rate = (per_s * class.mix)
                    .min(slots / f64::max(slot_s, f64::MIN_POSITIVE))
                    .min(retries / f64::max(retries_per_root, f64::MIN_POSITIVE));
                slots -= rate * slot_s;
                retries -= rate * retries_per_root;
                served[idx] += rate;
                offered[idx] += per_s * class.mix;
            }
        }
        std::array::from_fn(|idx| served[idx] / f64::max(offered[idx], f64::MIN_POSITIVE))
    }
}
