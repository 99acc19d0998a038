//! Calls that wait for the store.

use std::collections::VecDeque;

use hemlockhitch_model::RequestId;
use tokio::sync::oneshot;

use crate::LedgerErrorKind;
use crate::bill::Bill;
use crate::call::{LedgerCall, LedgerReply};
use crate::claim::Outcome;
use crate::settings::LedgerSettings;

/// A call and the way to its caller.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) call: LedgerCall,
    pub(super) call_bytes: usize,
    pub(super) reply: oneshot::Sender<LedgerReply>,
}

impl Waiting {
    /// Whether the call can be left out of the next batch because nobody waits
    /// for its reply. Bills are kept, and so are the outcomes of claims that
    /// ran; a release is repeated by its sender.
    fn is_abandoned(&self) -> bool {
        let is_kept = match &self.call {
            LedgerCall::Bill(_) => true,
            LedgerCall::Settle { outcome, .. } => *outcome != Outcome::NotRun,
            _ => false,
        };
        !is_kept && self.reply.is_closed()
    }
}

/// The calls of one shard that wait for the store, bounded in number and bytes.
#[derive(Debug)]
pub(super) struct Pending {
    urgent: VecDeque<Waiting>,
    bills: VecDeque<Waiting>,
    bytes: usize,
    max_calls: usize,
    max_bytes: usize,
}

impl Pending {
    pub(super) fn new(settings: &LedgerSettings) -> Self {
        Self {
            urgent: VecDeque::new(),
            bills: VecDeque::new(),
            bytes: 0,
            max_calls: settings.max_waiting_calls,
            max_bytes: settings.max_waiting_bytes,
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.urgent.is_empty() && self.bills.is_empty()
    }

    /// Whether only bills wait, which may linger.
    pub(super) fn may_linger(&self, settings: &LedgerSettings) -> bool {
        self.urgent.is_empty() && self.bytes < settings.max_batch_bytes
    }

    /// Takes a call in, or answers it at once when there is no room.
    pub(super) fn push(&mut self, waiting: Waiting) {
        let Some(waiting) = self.replace_repeat(waiting) else {
            return;
        };
        if !self.has_room(&waiting) {
            self.drop_abandoned();
        }
        if !self.has_room(&waiting) {
            let _ = waiting.reply.send(full());
            return;
        }
        self.bytes += waiting.call_bytes;
        if matches!(waiting.call, LedgerCall::Bill(_)) {
            self.bills.push_back(waiting);
        } else {
            self.urgent.push_back(waiting);
        }
    }

    /// Takes out the oldest calls up to `max_bytes`, but at least one.
    pub(super) fn take(&mut self, max_bytes: usize) -> Vec<Waiting> {
        self.drop_abandoned();
        let mut taken = Vec::new();
        let mut taken_bytes = 0;
        while let Some(next) = self.urgent.front().or(self.bills.front()) {
            if !taken.is_empty() && taken_bytes + next.call_bytes > max_bytes {
                break;
            }
            taken_bytes += next.call_bytes;
            taken.extend(self.urgent.pop_front().or_else(|| self.bills.pop_front()));
        }
        self.bytes -= taken_bytes;
        taken
    }

    fn has_room(&self, waiting: &Waiting) -> bool {
        let calls = self.urgent.len() + self.bills.len();
        calls < self.max_calls && self.bytes + waiting.call_bytes <= self.max_bytes
    }

    /// Lets the repeat of a call, whose former caller has given up, take the
    /// place of that call, so that repeats do not fill the buffer.
    fn replace_repeat(&mut self, waiting: Waiting) -> Option<Waiting> {
        let queue = match waiting.call {
            LedgerCall::Bill(_) => &mut self.bills,
            _ => &mut self.urgent,
        };
        let former = queue
            .iter_mut()
            .find(|former| former.reply.is_closed() && is_repeat(&former.call, &waiting.call));
        match former {
            Some(former) => {
                former.reply = waiting.reply;
                None
            }
            None => Some(waiting),
        }
    }

    fn drop_abandoned(&mut self) {
        self.urgent.retain(|waiting| !waiting.is_abandoned());
        let queues = self.urgent.iter().chain(&self.bills);
        self.bytes = queues.map(|waiting| waiting.call_bytes).sum();
    }
}

fn is_repeat(former: &LedgerCall, call: &LedgerCall) -> bool {
    match (former, call) {
        (LedgerCall::Bill(former), LedgerCall::Bill(bill)) => {
            request_of(former) == request_of(bill)
        }
        _ => former == call,
    }
}

fn request_of(bill: &Bill) -> RequestId {
    bill.request_id
}

fn full() -> LedgerReply {
    LedgerReply::Failed {
        kind: LedgerErrorKind::Full,
        detail: "too many calls wait for the store; refuse new work and retry later".to_owned(),
    }
}
