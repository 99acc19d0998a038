//! Queue of calls that wait to be written.

use std::collections::VecDeque;

use hemlockhitch_model::RequestId;
use tokio::sync::oneshot;

use crate::LedgerErrorKind;
use crate::bill::Bill;
use crate::call::{LedgerCall, LedgerReply};
use crate::claim::Outcome;
use crate::settings::LedgerSettings;

/// A queued call and the channel for its reply.
#[derive(Debug)]
pub(super) struct PendingCall {
    pub(super) call: LedgerCall,
    pub(super) call_bytes: usize,
    pub(super) reply: oneshot::Sender<LedgerReply>,
}

impl PendingCall {
    /// Returns whether the call can be dropped because its caller no longer waits
    /// for the reply.
    ///
    /// Bills and the outcomes of requests that may have run are never dropped. A
    /// release may be, because its sender retries it.
    fn is_abandoned(&self) -> bool {
        let is_kept = match &self.call {
            LedgerCall::Bill(_) => true,
            LedgerCall::Settle { outcome, .. } => *outcome != Outcome::NotRun,
            _ => false,
        };
        !is_kept && self.reply.is_closed()
    }
}

/// Queued calls of one shard, bounded in number and bytes.
#[derive(Debug)]
pub(super) struct CallQueue {
    immediate: VecDeque<PendingCall>,
    bills: VecDeque<PendingCall>,
    bytes: usize,
    max_calls: usize,
    max_bytes: usize,
}

impl CallQueue {
    pub(super) fn new(settings: &LedgerSettings) -> Self {
        Self {
            immediate: VecDeque::new(),
            bills: VecDeque::new(),
            bytes: 0,
            max_calls: settings.max_queued_calls,
            max_bytes: settings.max_queued_bytes,
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.immediate.is_empty() && self.bills.is_empty()
    }

    /// Returns whether the batch may wait for more calls: only bills are queued,
    /// and they do not fill a batch.
    pub(super) fn may_linger(&self, settings: &LedgerSettings) -> bool {
        self.immediate.is_empty() && self.bytes < settings.max_batch_bytes
    }

    /// Queues a call, or fails it at once if the queue is full.
    pub(super) fn push(&mut self, pending: PendingCall) {
        let Some(pending) = self.merge_retry(pending) else {
            return;
        };
        if !self.has_capacity(&pending) {
            self.drop_abandoned();
        }
        if !self.has_capacity(&pending) {
            let _ = pending.reply.send(queue_full());
            return;
        }
        self.bytes += pending.call_bytes;
        if matches!(pending.call, LedgerCall::Bill(_)) {
            self.bills.push_back(pending);
        } else {
            self.immediate.push_back(pending);
        }
    }

    /// Removes the next calls, up to `max_bytes` but at least one. Bills come
    /// after all other calls.
    pub(super) fn take_batch(&mut self, max_bytes: usize) -> Vec<PendingCall> {
        self.drop_abandoned();
        let mut taken = Vec::new();
        let mut taken_bytes = 0;
        while let Some(next) = self.immediate.front().or(self.bills.front()) {
            if !taken.is_empty() && taken_bytes + next.call_bytes > max_bytes {
                break;
            }
            taken_bytes += next.call_bytes;
            taken.extend(
                self.immediate
                    .pop_front()
                    .or_else(|| self.bills.pop_front()),
            );
        }
        self.bytes -= taken_bytes;
        taken
    }

    fn has_capacity(&self, pending: &PendingCall) -> bool {
        let calls = self.immediate.len() + self.bills.len();
        calls < self.max_calls && self.bytes + pending.call_bytes <= self.max_bytes
    }

    /// Attaches a retry to the queued call that it repeats, if the caller of that
    /// call has given up, so that retries do not fill the queue. Returns the call
    /// if there is none.
    fn merge_retry(&mut self, pending: PendingCall) -> Option<PendingCall> {
        let queue = match pending.call {
            LedgerCall::Bill(_) => &mut self.bills,
            _ => &mut self.immediate,
        };
        let previous = queue
            .iter_mut()
            .find(|previous| previous.reply.is_closed() && is_retry(&previous.call, &pending.call));
        match previous {
            Some(previous) => {
                previous.reply = pending.reply;
                None
            }
            None => Some(pending),
        }
    }

    fn drop_abandoned(&mut self) {
        self.immediate.retain(|pending| !pending.is_abandoned());
        let queues = self.immediate.iter().chain(&self.bills);
        self.bytes = queues.map(|pending| pending.call_bytes).sum();
    }
}

fn is_retry(previous: &LedgerCall, call: &LedgerCall) -> bool {
    match (previous, call) {
        (LedgerCall::Bill(previous), LedgerCall::Bill(bill)) => {
            request_id_of(previous) == request_id_of(bill)
        }
        _ => previous == call,
    }
}

fn request_id_of(bill: &Bill) -> RequestId {
    bill.request_id
}

fn queue_full() -> LedgerReply {
    LedgerReply::Failed {
        kind: LedgerErrorKind::Full,
        detail: "too many calls wait for the store; refuse new work and retry later".to_owned(),
    }
}
