//! The requester's side of the ledger: finds the owner and repeats lost calls.

mod release;
mod settings;

pub use settings::RoutedSettings;

use std::sync::Arc;
use std::time::Duration;

use hemlockhitch_model::{Now, RequestId};
use tokio::time::{Instant, sleep, timeout};

use crate::bill::Bill;
use crate::call::{LedgerCall, LedgerReply, LedgerService, LedgerTransport};
use crate::claim::{Claim, ClaimAnswer, ClaimKey, ClaimState, Outcome};
use crate::shard::{ShardOwner, ShardOwners};
use crate::{Ledger, LedgerError, LedgerErrorKind};

use release::{ReleaseGuard, Releases};

/// A ledger whose calls go to the owners of its shards.
///
/// A call that finds no owner, or whose answer is lost, is repeated unchanged
/// until the limit of the settings. A claim that failed and may be recorded is
/// released in the background, so that its key becomes free again; its attempt
/// is spent.
///
/// ```no_run
/// use hemlockhitch_ledger::call::NoTransport;
/// use hemlockhitch_ledger::shard::SoleOwner;
/// use hemlockhitch_ledger::{LedgerSettings, LedgerWriter, RoutedLedger, RoutedSettings};
/// use hemlockhitch_model::SystemClock;
/// use hemlockhitch_ports::key_value::MemoryKeyValue;
///
/// let kv = MemoryKeyValue::new();
/// let settings = LedgerSettings::new("n-1");
/// let writer = LedgerWriter::new(kv, SoleOwner, SystemClock::new(), settings);
/// let ledger = RoutedLedger::new(SoleOwner, NoTransport, writer, RoutedSettings::new());
/// ```
#[derive(Clone, Debug)]
pub struct RoutedLedger<O, T, W> {
    inner: Arc<Inner<O, T, W>>,
}

#[derive(Debug)]
struct Inner<O, T, W> {
    owners: O,
    transport: T,
    writer: W,
    settings: RoutedSettings,
    releases: Releases,
}

impl<O: ShardOwners, T: LedgerTransport, W: LedgerService> RoutedLedger<O, T, W> {
    /// Creates a ledger that serves the shards of this node by `writer` and
    /// reaches the others by `transport`.
    #[must_use]
    pub fn new(owners: O, transport: T, writer: W, settings: RoutedSettings) -> Self {
        let releases = Releases::new(settings.max_releases);
        Self {
            inner: Arc::new(Inner {
                owners,
                transport,
                writer,
                settings,
                releases,
            }),
        }
    }

    /// Finds the bill of a request.
    ///
    /// # Errors
    ///
    /// Fails when no owner answers within the limit.
    pub async fn find_bill(
        &self,
        request_id: RequestId,
        now: Now,
    ) -> Result<Option<Bill>, LedgerError> {
        match self.call(LedgerCall::FindBill(request_id), now).await? {
            LedgerReply::Bill(bill) => Ok(bill),
            reply => Err(unexpected(&reply)),
        }
    }

    /// Finds the state of a claim.
    ///
    /// # Errors
    ///
    /// Fails when no owner answers within the limit.
    pub async fn find_claim(
        &self,
        key: &ClaimKey,
        now: Now,
    ) -> Result<Option<ClaimState>, LedgerError> {
        match self.call(LedgerCall::FindClaim(key.clone()), now).await? {
            LedgerReply::Claimed(state) => Ok(state),
            reply => Err(unexpected(&reply)),
        }
    }

    async fn call(&self, call: LedgerCall, now: Now) -> Result<LedgerReply, FailedCall> {
        let limit = Duration::from_millis(self.inner.settings.limit_ms);
        self.call_within(call, now, limit).await
    }

    /// Repeats `call` until it is answered or `limit` is over.
    async fn call_within(
        &self,
        call: LedgerCall,
        now: Now,
        limit: Duration,
    ) -> Result<LedgerReply, FailedCall> {
        let start = Instant::now();
        let mut backoff = self.inner.settings.backoff();
        let mut is_in_doubt = false;
        loop {
            let elapsed = start.elapsed();
            let left = limit.saturating_sub(elapsed);
            let reply = self
                .call_once(call.clone(), later(now, elapsed), left)
                .await;
            let error = match reply {
                Ok(LedgerReply::Failed { kind, detail }) => LedgerError::new(kind, detail),
                Ok(LedgerReply::NotOwner) => no_owner(),
                Ok(reply) => return Ok(reply),
                Err(error) => error,
            };
            let is_lost = error.kind() == LedgerErrorKind::Unavailable;
            is_in_doubt |= is_lost;
            let pause = backoff.next_pause();
            if !is_lost || start.elapsed() + pause >= limit {
                return Err(FailedCall { error, is_in_doubt });
            }
            sleep(pause).await;
        }
    }

    async fn call_once(
        &self,
        call: LedgerCall,
        now: Now,
        left: Duration,
    ) -> Result<LedgerReply, LedgerError> {
        let settings = &self.inner.settings;
        let try_limit = left.min(Duration::from_millis(settings.try_limit_ms));
        let shard = call.shard(settings.shard_count);
        let exchange = async {
            match self.inner.owners.owner(shard, now) {
                ShardOwner::Here => Ok(self.inner.writer.handle(call, now).await),
                ShardOwner::At { address, .. } => self.inner.transport.call(&address, call).await,
                ShardOwner::Nobody => Ok(LedgerReply::NotOwner),
            }
        };
        timeout(try_limit, exchange)
            .await
            .unwrap_or_else(|_| Err(no_answer()))
    }

    /// Frees a claim that nobody will run, in the background.
    fn release(&self, key: ClaimKey, attempt: RequestId, now: Now) {
        let Some(release) = self.inner.releases.begin(attempt) else {
            return;
        };
        let ledger = self.clone();
        tokio::spawn(async move {
            let limit = Duration::from_millis(ledger.inner.settings.release_limit_ms);
            let call = LedgerCall::Settle {
                key,
                attempt,
                outcome: Outcome::NotRun,
            };
            if let Err(failed) = ledger.call_within(call, now, limit).await {
                let error = failed.error;
                tracing::warn!(event = "HH0503", %attempt, %error, "claim not released");
            }
            drop(release);
        });
    }
}

impl<O: ShardOwners, T: LedgerTransport, W: LedgerService> Ledger for RoutedLedger<O, T, W> {
    async fn claim(&self, claim: Claim, now: Now) -> Result<ClaimAnswer, LedgerError> {
        if self.inner.releases.contains(claim.attempt) {
            return Err(spent());
        }
        let guard = ReleaseGuard::new(|| {
            self.release(claim.key.clone(), claim.attempt, now);
        });
        match self.call(LedgerCall::Claim(claim.clone()), now).await {
            Ok(LedgerReply::Claim(answer)) => {
                guard.disarm();
                Ok(answer)
            }
            Ok(reply) => Err(unexpected(&reply)),
            Err(failed) if failed.is_in_doubt => Err(failed.error),
            Err(failed) => {
                guard.disarm();
                Err(failed.error)
            }
        }
    }

    async fn settle(
        &self,
        key: &ClaimKey,
        attempt: RequestId,
        outcome: Outcome,
        now: Now,
    ) -> Result<(), LedgerError> {
        let call = LedgerCall::Settle {
            key: key.clone(),
            attempt,
            outcome,
        };
        recorded(&self.call(call, now).await?)
    }

    async fn bill(&self, bill: Bill, now: Now) -> Result<(), LedgerError> {
        recorded(&self.call(LedgerCall::Bill(bill), now).await?)
    }
}

/// A call that was given up.
#[derive(Debug)]
struct FailedCall {
    error: LedgerError,
    /// Whether a try of the call may have been recorded.
    is_in_doubt: bool,
}

impl From<FailedCall> for LedgerError {
    fn from(failed: FailedCall) -> Self {
        failed.error
    }
}

fn recorded(reply: &LedgerReply) -> Result<(), LedgerError> {
    match reply {
        LedgerReply::Recorded => Ok(()),
        reply => Err(unexpected(reply)),
    }
}

fn later(now: Now, elapsed: Duration) -> Now {
    let elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
    Now {
        mono_ms: now.mono_ms.saturating_add(elapsed_ms),
        unix_ms: now.unix_ms.saturating_add(elapsed_ms),
    }
}

fn no_owner() -> LedgerError {
    LedgerError::new(
        LedgerErrorKind::Unavailable,
        "no node owns the shard at present; retry later",
    )
}

fn no_answer() -> LedgerError {
    LedgerError::new(
        LedgerErrorKind::Unavailable,
        "the owner of the shard did not answer in time; retry later",
    )
}

fn spent() -> LedgerError {
    LedgerError::new(
        LedgerErrorKind::NotHolder,
        "the attempt's claim has failed and is being released; claim with a new attempt",
    )
}

fn unexpected(reply: &LedgerReply) -> LedgerError {
    LedgerError::new(
        LedgerErrorKind::Corrupt,
        format!("reply {reply:?} does not fit the call; run the same release on every node"),
    )
}
