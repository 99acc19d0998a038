//! Bounded buffer of unrecorded bills on the node that served the requests.

use std::sync::Arc;
use std::time::Duration;

use hemlockhitch_model::Clock;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::Bill;
use crate::{Ledger, LedgerError, LedgerErrorKind};

/// Maximum number of bills that are sent to the ledger concurrently.
const MAX_CONCURRENT_BILLS: usize = 256;

/// Maximum delay after a bill could not be recorded; the minimum is half of it.
const MAX_BACKOFF_MS: u64 = 1_000;

/// Buffers bills until the ledger has recorded them, and retries those that fail.
///
/// A permit is reserved before a request starts, which guarantees capacity for
/// its bill when the request ends. If the buffer is full, the reservation fails
/// and the node refuses the request. Clones share the buffer.
///
/// ```
/// # use hemlockhitch_ledger::Ledger;
/// use hemlockhitch_ledger::bill::{Bill, BillBuffer};
/// use hemlockhitch_model::SystemClock;
///
/// # async fn example(ledger: impl Ledger, bill: Bill) -> Result<(), Box<dyn std::error::Error>> {
/// let buffer = BillBuffer::new(ledger, SystemClock::new(), 10_000);
/// let permit = buffer.reserve()?;
/// // The request runs here.
/// permit.submit(bill);
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct BillBuffer {
    sender: mpsc::UnboundedSender<BufferedBill>,
    permits: Arc<Semaphore>,
    max_bills: usize,
}

/// Reserved capacity for the bill of one request; dropping it releases the
/// capacity.
#[derive(Debug)]
#[must_use]
pub struct BillPermit {
    sender: mpsc::UnboundedSender<BufferedBill>,
    permit: OwnedSemaphorePermit,
}

/// A buffered bill and the capacity that it occupies.
#[derive(Debug)]
struct BufferedBill {
    bill: Bill,
    _permit: OwnedSemaphorePermit,
}

impl BillBuffer {
    /// Creates a buffer with a capacity of `max_bills`, and spawns the task that
    /// sends the bills to `ledger`.
    #[must_use]
    pub fn new(ledger: impl Ledger, clock: impl Clock, max_bills: usize) -> Self {
        let (sender, receiver) = mpsc::unbounded_channel();
        tokio::spawn(send_all(ledger, clock, receiver));
        Self {
            sender,
            permits: Arc::new(Semaphore::new(max_bills)),
            max_bills,
        }
    }

    /// Reserves capacity for the bill of a request that is about to start.
    ///
    /// # Errors
    ///
    /// Fails if the buffer is full; the request must then be refused as not run.
    pub fn reserve(&self) -> Result<BillPermit, LedgerError> {
        let permit = Arc::clone(&self.permits)
            .try_acquire_owned()
            .map_err(|_| buffer_full(self.max_bills))?;
        Ok(BillPermit {
            sender: self.sender.clone(),
            permit,
        })
    }

    /// Returns the number of buffered bills and unused permits.
    #[must_use]
    pub fn reserved_count(&self) -> usize {
        self.max_bills - self.permits.available_permits()
    }

    /// Waits up to `timeout_ms` until every bill is recorded, and returns the number
    /// of buffered bills and unused permits that remain.
    pub async fn flush(&self, timeout_ms: u64) -> usize {
        let count = u32::try_from(self.max_bills).unwrap_or(u32::MAX);
        let all_permits = self.permits.acquire_many(count);
        let _ = timeout(Duration::from_millis(timeout_ms), all_permits).await;
        self.reserved_count()
    }
}

impl BillPermit {
    /// Submits the bill; it stays in the buffer until it is recorded.
    pub fn submit(self, bill: Bill) {
        let request_id = bill.request_id;
        let buffered = BufferedBill {
            bill,
            _permit: self.permit,
        };
        if self.sender.send(buffered).is_err() {
            tracing::error!(event = "HH0505", %request_id, "bill lost: the bill buffer has stopped");
        }
    }
}

/// Sends bills with adaptive concurrency: a failure reduces it to the number of
/// bills that were just recorded, at least one, and causes a backoff; each send
/// without a failure doubles it.
async fn send_all<L: Ledger>(
    ledger: L,
    clock: impl Clock,
    mut receiver: mpsc::UnboundedReceiver<BufferedBill>,
) {
    let mut waiting: Vec<BufferedBill> = Vec::new();
    let mut concurrency = MAX_CONCURRENT_BILLS;
    loop {
        if waiting.is_empty() && receiver.recv_many(&mut waiting, MAX_CONCURRENT_BILLS).await == 0 {
            return;
        }
        while let Ok(buffered) = receiver.try_recv() {
            waiting.push(buffered);
        }
        let remaining = waiting.split_off(waiting.len().min(concurrency));
        let sent_count = waiting.len();
        let failed =
            send_concurrently(&ledger, &clock, std::mem::replace(&mut waiting, remaining)).await;
        if failed.is_empty() {
            concurrency = (concurrency * 2).min(MAX_CONCURRENT_BILLS);
            continue;
        }
        concurrency = (sent_count - failed.len()).max(1);
        waiting.extend(failed);
        tracing::warn!(
            event = "HH0506",
            held = waiting.len(),
            "failed to record bills; retrying"
        );
        let backoff_ms = fastrand::u64(MAX_BACKOFF_MS / 2..=MAX_BACKOFF_MS);
        sleep(Duration::from_millis(backoff_ms)).await;
    }
}

/// Sends `bills` concurrently and returns those that failed.
async fn send_concurrently<L: Ledger>(
    ledger: &L,
    clock: &impl Clock,
    bills: Vec<BufferedBill>,
) -> Vec<BufferedBill> {
    let mut tasks = JoinSet::new();
    for buffered in bills {
        let (ledger, now) = (ledger.clone(), clock.now());
        tasks.spawn(async move {
            let result = ledger.bill(buffered.bill.clone(), now).await;
            (buffered, result)
        });
    }
    let mut failed = Vec::new();
    while let Some(done) = tasks.join_next().await {
        if let Ok((buffered, Err(_))) = done {
            failed.push(buffered);
        }
    }
    failed
}

fn buffer_full(max_bills: usize) -> LedgerError {
    LedgerError::new(
        LedgerErrorKind::Full,
        format!("{max_bills} bills wait for the store; refuse the request and retry later"),
    )
}
