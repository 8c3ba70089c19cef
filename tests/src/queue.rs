//! A queue of events in true time, and links that delay, drop, duplicate, reorder and go silent.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    ops::Range,
    time::Duration,
};

use ivytrail::time::TimePoint;
use rand::{RngExt, rngs::StdRng};

/// An event and its time.
#[derive(Debug)]
struct QueuedEvent<E> {
    at: TimePoint,
    serial: u64,
    event: E,
}

impl<E> PartialEq for QueuedEvent<E> {
    fn eq(&self, other: &Self) -> bool {
        self.serial == other.serial
    }
}

impl<E> Eq for QueuedEvent<E> {}

impl<E> PartialOrd for QueuedEvent<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for QueuedEvent<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.serial).cmp(&(other.at, other.serial))
    }
}

/// Events in the order of their true time; events of the same time keep the order in which they were pushed.
#[derive(Debug)]
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<QueuedEvent<E>>>,
    now: TimePoint,
    serial: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> EventQueue<E> {
        EventQueue { heap: BinaryHeap::new(), now: TimePoint::ORIGIN, serial: 0 }
    }
}

impl<E> EventQueue<E> {
    /// Returns the time of the latest event that was popped.
    pub fn now(&self) -> TimePoint {
        self.now
    }

    /// Adds an event `delay` from now.
    pub fn push(&mut self, delay: Duration, event: E) {
        self.push_at(self.now.plus(delay), event);
    }

    /// Adds an event at `at`, or now when that has passed.
    pub fn push_at(&mut self, at: TimePoint, event: E) {
        self.serial += 1;
        let at = at.max(self.now);
        self.heap.push(Reverse(QueuedEvent { at, serial: self.serial, event }));
    }

    /// Removes the next event and moves the time to it.
    pub fn pop(&mut self) -> Option<E> {
        let Reverse(next) = self.heap.pop()?;
        self.now = next.at;
        Some(next.event)
    }
}

/// How links treat messages.
#[derive(Clone, Debug)]
pub struct LinkQuality {
    /// Messages lost, of a thousand.
    pub lost_per_mille: u32,
    /// Messages delivered twice, of a thousand.
    pub duplicated_per_mille: u32,
    /// Messages delayed long, of a thousand.
    pub delayed_per_mille: u32,
    /// Delay of most messages, in microseconds.
    pub delay_us: Range<u64>,
    /// Delay of late messages, in microseconds. They arrive after later ones.
    pub long_delay_us: Range<u64>,
}

impl Default for LinkQuality {
    fn default() -> LinkQuality {
        LinkQuality {
            lost_per_mille: 20,
            duplicated_per_mille: 20,
            delayed_per_mille: 20,
            delay_us: 200..3_000,
            long_delay_us: 50_000..8_000_000,
        }
    }
}

/// The links between participants, each with a direction of its own.
#[derive(Debug, Default)]
pub struct LinkTable<P> {
    quality: LinkQuality,
    drops_until: BTreeMap<(P, P), TimePoint>,
}

impl<P> LinkTable<P>
where
    P: Clone + Ord,
{
    /// Returns links of one quality.
    pub fn new(quality: LinkQuality) -> LinkTable<P> {
        LinkTable { quality, drops_until: BTreeMap::new() }
    }

    /// Loses every message from `from` to `to` until `until`.
    pub fn drop_until(&mut self, from: P, to: P, until: TimePoint) {
        self.drops_until.insert((from, to), until);
    }

    /// Returns the delay of each copy of a message that arrives.
    pub fn delivery_delays(
        &self,
        now: TimePoint,
        from: &P,
        to: &P,
        rng: &mut StdRng,
    ) -> Vec<Duration> {
        let link = (from.clone(), to.clone());
        let is_dropping = self.drops_until.get(&link).is_some_and(|until| now < *until);
        if is_dropping || self.draw(self.quality.lost_per_mille, rng) {
            return Vec::new();
        }
        let n_copies = 1 + usize::from(self.draw(self.quality.duplicated_per_mille, rng));
        (0..n_copies).map(|_| self.draw_delay(rng)).collect()
    }

    fn draw_delay(&self, rng: &mut StdRng) -> Duration {
        let range = match self.draw(self.quality.delayed_per_mille, rng) {
            true => self.quality.long_delay_us.clone(),
            false => self.quality.delay_us.clone(),
        };
        Duration::from_micros(rng.random_range(range))
    }

    fn draw(&self, per_mille: u32, rng: &mut StdRng) -> bool {
        rng.random_range(0..1_000) < per_mille
    }
}
