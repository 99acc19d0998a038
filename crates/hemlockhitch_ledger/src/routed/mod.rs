//! Client side of the ledger: routes calls to shard owners and retries them.

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
use crate::shard::{ShardDirectory, ShardOwner};
use crate::{Ledger, LedgerError, LedgerErrorKind};

use release::{CancelGuard, PendingReleases};

/// A [`Ledger`] that sends each call to the owner of its shard.
///
/// A call is retried unchanged while there is no owner or no response, until the
/// configured timeout. A failed claim that may have been recorded is released in
/// the background, so that its key can be claimed again; its attempt cannot be
/// used again.
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
    directory: O,
    transport: T,
    writer: W,
    settings: RoutedSettings,
    releases: PendingReleases,
}

impl<O: ShardDirectory, T: LedgerTransport, W: LedgerService> RoutedLedger<O, T, W> {
    /// Creates a ledger that uses `writer` for the shards of this node and
    /// `transport` for those of other nodes.
    #[must_use]
    pub fn new(directory: O, transport: T, writer: W, settings: RoutedSettings) -> Self {
        let releases = PendingReleases::new(settings.max_concurrent_releases);
        Self {
            inner: Arc::new(Inner {
                directory,
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
    /// Fails if no owner replies within the timeout, or if the bill has expired
    /// from the log.
    pub async fn find_bill(
        &self,
        request_id: RequestId,
        now: Now,
    ) -> Result<Option<Bill>, LedgerError> {
        match self.call(LedgerCall::FindBill(request_id), now).await? {
            LedgerReply::Bill(bill) => Ok(bill),
            reply => Err(unexpected_reply(&reply)),
        }
    }

    /// Finds the state of a claim.
    ///
    /// # Errors
    ///
    /// Fails if no owner replies within the timeout.
    pub async fn find_claim(
        &self,
        key: &ClaimKey,
        now: Now,
    ) -> Result<Option<ClaimState>, LedgerError> {
        match self.call(LedgerCall::FindClaim(key.clone()), now).await? {
            LedgerReply::Claimed(state) => Ok(state),
            reply => Err(unexpected_reply(&reply)),
        }
    }

    async fn call(&self, call: LedgerCall, now: Now) -> Result<LedgerReply, FailedCall> {
        let total_timeout = Duration::from_millis(self.inner.settings.timeout_ms);
        self.call_with_timeout(call, now, total_timeout).await
    }

    /// Retries `call` until it gets a final reply or `total_timeout` elapses.
    async fn call_with_timeout(
        &self,
        call: LedgerCall,
        now: Now,
        total_timeout: Duration,
    ) -> Result<LedgerReply, FailedCall> {
        let start = Instant::now();
        let mut backoff = self.inner.settings.backoff();
        let mut may_be_recorded = false;
        loop {
            let elapsed = start.elapsed();
            let remaining = total_timeout.saturating_sub(elapsed);
            let reply = self
                .send_once(call.clone(), advance(now, elapsed), remaining)
                .await;
            let error = match reply {
                Ok(LedgerReply::Failed { kind, detail }) => LedgerError::new(kind, detail),
                Ok(LedgerReply::NotOwner) => no_owner(),
                Ok(reply) => return Ok(reply),
                Err(error) => error,
            };
            let is_retryable = error.kind() == LedgerErrorKind::Unavailable;
            may_be_recorded |= is_retryable;
            let backoff_pause = backoff.next_pause();
            if !is_retryable || start.elapsed() + backoff_pause >= total_timeout {
                return Err(FailedCall {
                    error,
                    may_be_recorded,
                });
            }
            sleep(backoff_pause).await;
        }
    }

    async fn send_once(
        &self,
        call: LedgerCall,
        now: Now,
        remaining: Duration,
    ) -> Result<LedgerReply, LedgerError> {
        let settings = &self.inner.settings;
        let per_try_timeout = remaining.min(Duration::from_millis(settings.per_try_timeout_ms));
        let shard = call.shard(settings.shard_count);
        let exchange = async {
            match self.inner.directory.owner(shard, now) {
                ShardOwner::Local => Ok(self.inner.writer.handle(call, now).await),
                ShardOwner::Remote { address, .. } => {
                    self.inner.transport.call(&address, call).await
                }
                ShardOwner::Unknown => Ok(LedgerReply::NotOwner),
            }
        };
        timeout(per_try_timeout, exchange)
            .await
            .unwrap_or_else(|_| Err(no_response()))
    }

    /// Releases a claim that will not be run, in the background.
    fn release_in_background(&self, key: ClaimKey, attempt: RequestId, now: Now) {
        let Some(release) = self.inner.releases.begin(attempt) else {
            return;
        };
        let ledger = self.clone();
        tokio::spawn(async move {
            let total_timeout = Duration::from_millis(ledger.inner.settings.release_timeout_ms);
            let call = LedgerCall::Settle {
                key,
                attempt,
                outcome: Outcome::NotRun,
            };
            if let Err(failed) = ledger.call_with_timeout(call, now, total_timeout).await {
                let error = failed.error;
                tracing::warn!(event = "HH0503", %attempt, %error, "failed to release claim");
            }
            drop(release);
        });
    }
}

impl<O: ShardDirectory, T: LedgerTransport, W: LedgerService> Ledger for RoutedLedger<O, T, W> {
    async fn claim(&self, claim: Claim, now: Now) -> Result<ClaimAnswer, LedgerError> {
        if self.inner.releases.contains(claim.attempt) {
            return Err(attempt_is_spent());
        }
        let guard = CancelGuard::new(|| {
            self.release_in_background(claim.key.clone(), claim.attempt, now);
        });
        match self.call(LedgerCall::Claim(claim.clone()), now).await {
            Ok(LedgerReply::Claim(answer)) => {
                guard.disarm();
                Ok(answer)
            }
            Ok(reply) => Err(unexpected_reply(&reply)),
            Err(failed) if failed.may_be_recorded => Err(failed.error),
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
        expect_recorded(&self.call(call, now).await?)
    }

    async fn bill(&self, bill: Bill, now: Now) -> Result<(), LedgerError> {
        expect_recorded(&self.call(LedgerCall::Bill(bill), now).await?)
    }
}

/// A call that failed after its last try.
#[derive(Debug)]
struct FailedCall {
    error: LedgerError,
    /// Whether some try of the call may have been recorded.
    may_be_recorded: bool,
}

impl From<FailedCall> for LedgerError {
    fn from(failed: FailedCall) -> Self {
        failed.error
    }
}

fn expect_recorded(reply: &LedgerReply) -> Result<(), LedgerError> {
    match reply {
        LedgerReply::Recorded => Ok(()),
        reply => Err(unexpected_reply(reply)),
    }
}

fn advance(now: Now, elapsed: Duration) -> Now {
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

fn no_response() -> LedgerError {
    LedgerError::new(
        LedgerErrorKind::Unavailable,
        "the owner of the shard did not answer in time; retry later",
    )
}

fn attempt_is_spent() -> LedgerError {
    LedgerError::new(
        LedgerErrorKind::NotHolder,
        "the attempt's claim has failed and is being released; claim with a new attempt",
    )
}

fn unexpected_reply(reply: &LedgerReply) -> LedgerError {
    LedgerError::new(
        LedgerErrorKind::Corrupt,
        format!("reply {reply:?} does not fit the call; run the same release on every node"),
    )
}
