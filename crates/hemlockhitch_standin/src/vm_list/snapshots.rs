//! Past states of the VM list, for reads with a lag.

use std::collections::VecDeque;
use std::time::Duration;

use hemlockhitch_ports::vm_list::Vm;
use tokio::time::Instant;

/// Maximum number of snapshots; the oldest is dropped first.
const MAX_SNAPSHOTS: usize = 1_024;

/// Latest snapshots of the list, oldest first.
#[derive(Debug, Default)]
pub(super) struct Snapshots {
    snapshots: VecDeque<Snapshot>,
}

#[derive(Debug)]
struct Snapshot {
    created_at: Instant,
    vms: Vec<Vm>,
}

impl Snapshots {
    /// Appends a snapshot taken at `now`.
    pub(super) fn push(&mut self, vms: Vec<Vm>, now: Instant) {
        self.snapshots.push_back(Snapshot {
            created_at: now,
            vms,
        });
        if self.snapshots.len() > MAX_SNAPSHOTS {
            self.snapshots.pop_front();
        }
    }

    /// Returns the VMs of the latest snapshot.
    pub(super) fn latest(&self) -> Vec<Vm> {
        let latest = self.snapshots.back();
        latest.map_or_else(Vec::new, |snapshot| snapshot.vms.clone())
    }

    /// Returns the VMs of the latest snapshot that is at least `lag` old. If there is none,
    /// returns the oldest snapshot, so that the list is not empty just after its start.
    pub(super) fn as_of(&self, now: Instant, lag: Duration) -> Vec<Vm> {
        let visible =
            |snapshot: &&Snapshot| now.saturating_duration_since(snapshot.created_at) >= lag;
        let snapshot = self.snapshots.iter().rev().find(visible);
        let snapshot = snapshot.or_else(|| self.snapshots.front());
        snapshot.map_or_else(Vec::new, |snapshot| snapshot.vms.clone())
    }
}
