//! Fake platform: a table with compare-and-set whose responses can be late, lost or absent.

use ivytrail::{
    id::MemberId,
    lease::RingDefinition,
    membership::MemberView,
    platform::{RowWrite, TableRead, TableTransaction, TransactionResult, VersionCheck},
    reducer::{DaemonEvent, FleetUpdate, SettingsReading},
    settings::{
        Revision, TreeEdit,
        rows::{CHANGES_PER_READ, change_key, changes_read, decode_changes, decode_row},
    },
    time::TimePoint,
};
use ivytrail_fakes::platform::MemoryTable;
use rand::RngExt;

use super::{DaemonFleet, MS, NodeRun, POLL_US, ScheduledEvent};
use crate::firms::{FirmConfig, change};

/// Maximum number of member rows per range read.
const MEMBER_ROWS: usize = 16;

/// Fake platform with one table.
#[derive(Debug, Default)]
pub struct FakePlatform {
    pub(super) down_until: u64,
    pub(super) lossy_until: u64,
    /// Settings revision of the last accepted change.
    pub revision: u64,
    table: MemoryTable,
}

impl FakePlatform {
    pub(super) fn new(firm: &FirmConfig) -> FakePlatform {
        let mut platform = FakePlatform::default();
        for edit in firm.changes() {
            platform.accept(0, edit);
        }
        platform
    }

    /// Accepts a settings change unless the platform is down; returns whether it was accepted.
    pub(super) fn accept(&mut self, now: u64, edit: TreeEdit) -> bool {
        if now < self.down_until {
            return false;
        }
        self.revision += 1;
        let change = change(self.revision, edit);
        let value = serde_json::to_value(&change).expect("a settings change serializes to JSON");
        self.write(change_key(change.revision), value, Vec::new());
        true
    }

    /// Returns the current definition of a ring.
    pub(super) fn ring(&self, name: &str) -> Option<RingDefinition> {
        let read = TableRead { keys: vec![format!("ring/{name}")], ranges: Vec::new() };
        let row = self.table.read(&read).rows.pop()?;
        Some(decode_row(&row).expect("a ring row contains a ring definition"))
    }

    pub(super) fn remove_member(&mut self, now: u64, member: &MemberId) {
        if self.down_until <= now {
            let key = MemberView::row_key(&member.instance);
            self.write(key, serde_json::Value::Null, Vec::new());
        }
    }

    fn write(&mut self, key: String, value: serde_json::Value, checks: Vec<VersionCheck>) -> bool {
        let writes = vec![RowWrite { key, value }];
        let result = self.table.transact(TableTransaction { checks, writes });
        result == TransactionResult::Applied
    }
}

impl DaemonFleet {
    pub(super) fn poll_platform(&mut self, node_run: NodeRun) {
        self.schedule_at(self.now + POLL_US, ScheduledEvent::PlatformPoll(node_run));
        let requested_at = self.nodes[node_run.idx].clock(self.now).as_micros();
        let delay = self.platform_delay();
        self.schedule_at(self.now + delay, ScheduledEvent::PlatformRead(node_run, requested_at));
    }

    pub(super) fn read_platform(&mut self, node_run: NodeRun, requested_at: u64) {
        let node = &mut self.nodes[node_run.idx];
        if self.now < self.platform.down_until {
            return;
        }
        let instance = node.member.instance.clone();
        if !node.has_joined {
            let record = serde_json::to_value(node.reducer.local_record())
                .expect("a member record serializes to JSON");
            self.platform.write(MemberView::row_key(&instance), record, Vec::new());
            node.has_joined = true;
        }
        let mut ranges = MemberView::first_peer_ranges(&instance, MEMBER_ROWS).to_vec();
        ranges.extend(changes_read(node.reducer.revision(), CHANGES_PER_READ).ranges);
        let names: Vec<_> = node.reducer.ring_names().cloned().collect();
        let keys = names.iter().map(|it| format!("ring/{it}")).collect();
        let rows = self.platform.table.read(&TableRead { keys, ranges });
        if self.loses_response() {
            return;
        }
        let mut events = Vec::new();
        for name in names {
            if !rows.rows.iter().any(|it| it.key == format!("ring/{name}")) {
                events.push(DaemonEvent::FleetUpdated(FleetUpdate::RingAbsent(name)));
            }
        }
        for row in &rows.rows {
            if row.key.starts_with("member/") {
                let record = decode_row(row).expect("a member row contains a member record");
                events.push(DaemonEvent::FleetUpdated(FleetUpdate::Member(record)));
            } else if row.key.starts_with("ring/") {
                let definition = decode_row(row).expect("a ring row contains a ring definition");
                events.push(DaemonEvent::FleetUpdated(FleetUpdate::Ring(definition)));
            }
        }
        let changes = decode_changes(&rows).expect("change rows contain settings changes");
        let head = Revision(self.platform.revision);
        let reading = SettingsReading::Changes { head, changes };
        let sent_at = TimePoint::from_micros(requested_at);
        events.push(DaemonEvent::SettingsRead { sent_at, reading });
        let delay = self.platform_delay();
        for event in events {
            self.schedule_event(delay, node_run, event);
        }
    }

    /// Writes the next definition of a ring if the stored epoch is its predecessor.
    pub(super) fn write_ring(&mut self, node_run: NodeRun, definition: RingDefinition) {
        if self.now < self.platform.down_until {
            return;
        }
        let key = format!("ring/{}", definition.name);
        let read = TableRead { keys: vec![key.clone()], ranges: Vec::new() };
        let row = self.platform.table.read(&read).rows.pop();
        let version = row.as_ref().map_or(0, |it| it.version);
        let current: Option<RingDefinition> =
            row.map(|it| decode_row(&it).expect("a ring row contains a ring definition"));
        let mut latest = current.clone();
        if current.map_or(0, |it| it.epoch) + 1 == definition.epoch {
            let value =
                serde_json::to_value(&definition).expect("a ring definition serializes to JSON");
            let checks = vec![VersionCheck { key: key.clone(), version }];
            self.platform.write(key, value, checks);
            latest = Some(definition);
        }
        if self.loses_response() {
            return;
        }
        let delay = self.platform_delay();
        if let Some(definition) = latest {
            let update = FleetUpdate::Ring(definition);
            self.schedule_event(delay, node_run, DaemonEvent::FleetUpdated(update));
        }
    }

    fn platform_delay(&mut self) -> u64 {
        match self.now < self.platform.lossy_until {
            true => self.rng.random_range(MS..2_000 * MS),
            false => 2 * MS,
        }
    }

    fn loses_response(&mut self) -> bool {
        self.now < self.platform.lossy_until && self.rng.random_range(0..3) == 0
    }
}
