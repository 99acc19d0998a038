//! The past editions of the VM list.

use std::collections::VecDeque;
use std::time::Duration;

use hemlockhitch_ports::vm_list::Vm;
use tokio::time::Instant;

/// How many editions are kept.
const MAX_EDITIONS: usize = 1_024;

/// The latest editions of the list, oldest first.
#[derive(Debug, Default)]
pub(super) struct Editions {
    editions: VecDeque<Edition>,
}

#[derive(Debug)]
struct Edition {
    made_at: Instant,
    vms: Vec<Vm>,
}

impl Editions {
    /// Adds an edition.
    pub(super) fn push(&mut self, vms: Vec<Vm>, now: Instant) {
        self.editions.push_back(Edition { made_at: now, vms });
        if self.editions.len() > MAX_EDITIONS {
            self.editions.pop_front();
        }
    }

    /// Returns the latest edition.
    pub(super) fn latest(&self) -> Vec<Vm> {
        let latest = self.editions.back();
        latest.map_or_else(Vec::new, |edition| edition.vms.clone())
    }

    /// Returns the latest edition that is at least `lag` old. The first edition
    /// has no lag, so that a list that has just been started is not empty.
    pub(super) fn as_of(&self, now: Instant, lag: Duration) -> Vec<Vm> {
        let visible = |edition: &&Edition| now.saturating_duration_since(edition.made_at) >= lag;
        let edition = self.editions.iter().rev().find(visible);
        let edition = edition.or_else(|| self.editions.front());
        edition.map_or_else(Vec::new, |edition| edition.vms.clone())
    }
}
