//! A sharded, durable ledger of claims, outcomes and bills, and a queue of
//! deferred requests, both stored in the key-value service.
//!
//! Each shard has one owner node and a write-ahead log. A [`LedgerWriter`]
//! writes the shards that its node owns, a [`RoutedLedger`] sends each call to
//! the owner of its shard, and a [`bill::BillBuffer`] retries bills until the
//! ledger has recorded them. In a single-node system the node owns every shard:
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

/// Records claims of non-idempotent requests, their outcomes, and bills.
pub trait Ledger: Clone + Send + Sync + 'static {
    /// Claims a non-idempotent request before it is dispatched.
    ///
    /// At most one call may claim a given attempt at a time. After an error the
    /// claim may or may not be recorded. The caller must not dispatch the
    /// request; it may report it as "not run", and must use a new attempt to
    /// claim again.
    fn claim(
        &self,
        claim: Claim,
        now: Now,
    ) -> impl Future<Output = Result<ClaimAnswer, LedgerError>> + Send;

    /// Records the outcome of a claimed request.
    fn settle(
        &self,
        key: &ClaimKey,
        attempt: RequestId,
        outcome: Outcome,
        now: Now,
    ) -> impl Future<Output = Result<(), LedgerError>> + Send;

    /// Records a bill. Recording is idempotent by request id.
    fn bill(&self, bill: Bill, now: Now) -> impl Future<Output = Result<(), LedgerError>> + Send;
}
