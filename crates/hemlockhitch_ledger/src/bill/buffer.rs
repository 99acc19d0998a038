//! Bills that wait on the node that served the request.

use std::sync::Arc;
use std::time::Duration;

use hemlockhitch_model::Clock;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::Bill;
use crate::{Ledger, LedgerError, LedgerErrorKind};

/// Bills that are sent to the ledger at one time.
const MAX_ROUND_BILLS: usize = 256;

/// The longest pause after a round in which a bill failed.
const MAX_PAUSE_MS: u64 = 1_000;

/// Holds bills until the ledger has them, and repeats those that fail.
///
/// Room is reserved before a request starts, so that its bill is sure to find
/// room when the request ends. A full buffer refuses the reservation, and the
/// node then refuses the request. Clones share the buffer.
///
/// ```
/// # use hemlockhitch_ledger::Ledger;
/// use hemlockhitch_ledger::bill::{Bill, BillBuffer};
/// use hemlockhitch_model::SystemClock;
///
/// # async fn example(ledger: impl Ledger, bill: Bill) -> Result<(), Box<dyn std::error::Error>> {
/// let buffer = BillBuffer::new(ledger, SystemClock::new(), 10_000);
/// let slot = buffer.reserve()?;
/// // The request runs here.
/// slot.submit(bill);
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct BillBuffer {
    queue: mpsc::UnboundedSender<Held>,
    slots: Arc<Semaphore>,
    max_bills: usize,
}

/// Room for the bill of one request; dropping it gives the room back.
#[derive(Debug)]
#[must_use]
pub struct BillSlot {
    queue: mpsc::UnboundedSender<Held>,
    permit: OwnedSemaphorePermit,
}

/// A bill and the room that it takes.
#[derive(Debug)]
struct Held {
    bill: Bill,
    _permit: OwnedSemaphorePermit,
}

impl BillBuffer {
    /// Creates a buffer for `max_bills` bills, and starts the task that sends
    /// them to `ledger`.
    #[must_use]
    pub fn new(ledger: impl Ledger, clock: impl Clock, max_bills: usize) -> Self {
        let (queue, submitted) = mpsc::unbounded_channel();
        tokio::spawn(send_all(ledger, clock, submitted));
        Self {
            queue,
            slots: Arc::new(Semaphore::new(max_bills)),
            max_bills,
        }
    }

    /// Reserves room for the bill of a request that is about to start.
    ///
    /// # Errors
    ///
    /// Fails when the buffer is full; the request is then refused as not run.
    pub fn reserve(&self) -> Result<BillSlot, LedgerError> {
        let permit = Arc::clone(&self.slots)
            .try_acquire_owned()
            .map_err(|_| full(self.max_bills))?;
        Ok(BillSlot {
            queue: self.queue.clone(),
            permit,
        })
    }

    /// Returns how many bills are held or have room reserved.
    #[must_use]
    pub fn held(&self) -> usize {
        self.max_bills - self.slots.available_permits()
    }

    /// Waits up to `limit_ms` until the ledger has every bill, and returns how
    /// many it lacks.
    pub async fn flush(&self, limit_ms: u64) -> usize {
        let count = u32::try_from(self.max_bills).unwrap_or(u32::MAX);
        let all = self.slots.acquire_many(count);
        let _ = timeout(Duration::from_millis(limit_ms), all).await;
        self.held()
    }
}

impl BillSlot {
    /// Hands the bill over; it stays in the buffer until the ledger has it.
    pub fn submit(self, bill: Bill) {
        let request_id = bill.request_id;
        let held = Held {
            bill,
            _permit: self.permit,
        };
        if self.queue.send(held).is_err() {
            tracing::error!(event = "HH0505", %request_id, "bill lost: its buffer has stopped");
        }
    }
}

/// Sends bills in rounds. A failed round is followed by a pause and a small
/// round; each round without a failure doubles the next one.
async fn send_all<L: Ledger>(
    ledger: L,
    clock: impl Clock,
    mut submitted: mpsc::UnboundedReceiver<Held>,
) {
    let mut waiting: Vec<Held> = Vec::new();
    let mut round_bills = MAX_ROUND_BILLS;
    loop {
        if waiting.is_empty() && submitted.recv_many(&mut waiting, MAX_ROUND_BILLS).await == 0 {
            return;
        }
        while let Ok(held) = submitted.try_recv() {
            waiting.push(held);
        }
        let rest = waiting.split_off(waiting.len().min(round_bills));
        let sent = waiting.len();
        let failed = send_round(&ledger, &clock, std::mem::replace(&mut waiting, rest)).await;
        if failed.is_empty() {
            round_bills = (round_bills * 2).min(MAX_ROUND_BILLS);
            continue;
        }
        round_bills = (sent - failed.len()).max(1);
        waiting.extend(failed);
        tracing::warn!(
            event = "HH0506",
            held = waiting.len(),
            "bills wait for the ledger"
        );
        let pause_ms = fastrand::u64(MAX_PAUSE_MS / 2..=MAX_PAUSE_MS);
        sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Sends some bills at one time and returns those that failed.
async fn send_round<L: Ledger>(ledger: &L, clock: &impl Clock, bills: Vec<Held>) -> Vec<Held> {
    let mut round = JoinSet::new();
    for held in bills {
        let (ledger, now) = (ledger.clone(), clock.now());
        round.spawn(async move {
            let result = ledger.bill(held.bill.clone(), now).await;
            (held, result)
        });
    }
    let mut failed = Vec::new();
    while let Some(done) = round.join_next().await {
        if let Ok((held, Err(_))) = done {
            failed.push(held);
        }
    }
    failed
}

fn full(max_bills: usize) -> LedgerError {
    LedgerError::new(
        LedgerErrorKind::Full,
        format!("{max_bills} bills wait for the store; refuse the request and retry later"),
    )
}
