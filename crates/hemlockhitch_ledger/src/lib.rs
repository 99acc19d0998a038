//! Claims, outcomes, bills and deferred work, kept in the key-value service.
//!
//! A [`LedgerWriter`] writes the shards that its node owns, a [`RoutedLedger`]
//! finds the owner of each call, and a [`bill::BillBuffer`] holds bills until
//! the ledger has them. A system of one node owns every shard:
//!
//! ```
//! use hemlockhitch_ledger::call::NoTransport;
//! use hemlockhitch_ledger::claim::{Claim, ClaimAnswer, ClaimKey};
//! use hemlockhitch_ledger::shard::SoleOwner;
//! use hemlockhitch_ledger::{Ledger, LedgerSettings, LedgerWriter, RoutedLedger, RoutedSettings};
//! use hemlockhitch_model::{Clock, RequestId, SystemClock};
//! use hemlockhitch_ports::key_value::MemoryKeyValue;
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let clock = SystemClock::new();
//! let settings = LedgerSettings::new("n-1");
//! let writer = LedgerWriter::new(MemoryKeyValue::new(), SoleOwner, clock, settings);
//! let ledger = RoutedLedger::new(SoleOwner, NoTransport, writer, RoutedSettings::new());
//! let claim = Claim {
//!     key: ClaimKey {
//!         organisation: "shop".into(),
//!         idempotency_key: "hold-17".to_owned(),
//!     },
//!     attempt: RequestId::random(),
//!     call_digest: "digest of the call".to_owned(),
//! };
//! let answer = ledger.claim(claim, clock.now()).await?;
//! assert_eq!(answer, ClaimAnswer::Granted);
//! # Ok(())
//! # }
//! ```

pub mod bill;
pub mod call;
pub mod claim;
pub mod deferred;
mod error;
mod log;
pub mod record;
mod routed;
mod settings;
pub mod shard;
mod snapshot;
mod state;
mod writer;

pub use error::{LedgerError, LedgerErrorKind};
pub use routed::{RoutedLedger, RoutedSettings};
pub use settings::LedgerSettings;
pub use writer::LedgerWriter;

use std::future::Future;

use hemlockhitch_model::{Now, RequestId};

use bill::Bill;
use claim::{Claim, ClaimAnswer, ClaimKey, Outcome};

/// Records what must not be repeated and what must be paid for.
pub trait Ledger: Clone + Send + Sync + 'static {
    /// Claims a non-idempotent request before it is dispatched.
    ///
    /// An attempt is claimed by one call at a time. An error means that the
    /// claim may or may not be recorded: the caller has not dispatched, may
    /// answer "not run", and draws a new attempt for another try.
    fn claim(
        &self,
        claim: Claim,
        now: Now,
    ) -> impl Future<Output = Result<ClaimAnswer, LedgerError>> + Send;

    /// Records how a claimed request ended.
    fn settle(
        &self,
        key: &ClaimKey,
        attempt: RequestId,
        outcome: Outcome,
        now: Now,
    ) -> impl Future<Output = Result<(), LedgerError>> + Send;

    /// Records a bill; a second bill with the same request id has no effect.
    fn bill(&self, bill: Bill, now: Now) -> impl Future<Output = Result<(), LedgerError>> + Send;
}
