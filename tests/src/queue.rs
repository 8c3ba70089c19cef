//! An event queue in simulated time, and links that delay, drop, duplicate and reorder messages.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    ops::Range,
    time::Duration,
};

use ivytrail::time::TimePoint;
use rand::{RngExt, rngs::StdRng};

/// A queued event with its time and insertion number.
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

/// Events ordered by time; events with the same time keep their insertion order.
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
    /// Returns the simulated time, which is that of the last popped event.
    pub fn now(&self) -> TimePoint {
        self.now
    }

    /// Schedules an event `delay` after the current time.
    pub fn push(&mut self, delay: Duration, event: E) {
        self.push_at(self.now.plus(delay), event);
    }

    /// Schedules an event at `at`, or immediately if `at` has passed.
    pub fn push_at(&mut self, at: TimePoint, event: E) {
        self.serial += 1;
        let at = at.max(self.now);
        self.heap.push(Reverse(QueuedEvent { at, serial: self.serial, event }));
    }

    /// Removes the next event and advances the time to it.
    pub fn pop(&mut self) -> Option<E> {
        let Reverse(next) = self.heap.pop()?;
        self.now = next.at;
        Some(next.event)
    }
}

/// Delays and fault rates of links.
#[derive(Clone, Debug)]
pub struct LinkQuality {
    /// Rate of lost messages, per mille.
    pub lost_per_mille: u32,
    /// Rate of messages that are delivered twice, per mille.
    pub duplicated_per_mille: u32,
    /// Rate of messages with a long delay, per mille.
    pub delayed_per_mille: u32,
    /// Range of the usual delay, in microseconds.
    pub delay_us: Range<u64>,
    /// Range of the long delay, in microseconds; later messages can overtake such a message.
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

/// Unidirectional links between participants.
#[derive(Debug, Default)]
pub struct LinkTable<P> {
    quality: LinkQuality,
    drops_until: BTreeMap<(P, P), TimePoint>,
}

impl<P> LinkTable<P>
where
    P: Clone + Ord,
{
    /// Returns links with the same quality.
    pub fn new(quality: LinkQuality) -> LinkTable<P> {
        LinkTable { quality, drops_until: BTreeMap::new() }
    }

    /// Drops every message from `from` to `to` until `until`.
    pub fn drop_until(&mut self, from: P, to: P, until: TimePoint) {
        self.drops_until.insert((from, to), until);
    }

    /// Returns the delay of each delivered copy of a message; none if the message is lost.
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
