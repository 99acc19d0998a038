//! Ledger service whose writer is set after construction.

use std::sync::{Arc, OnceLock};

use hemlockhitch_ledger::call::{LedgerCall, LedgerReply, LedgerService};
use hemlockhitch_model::Now;

use super::backend::Writer;

/// Forwards ledger calls to the writer; answers `NotOwner` until the writer is set.
///
/// Breaks a dependency cycle: the peers need the service to start, and the writer needs
/// the peers.
#[derive(Clone, Debug)]
pub(super) struct DeferredInitLedger {
    writer: Arc<OnceLock<Writer>>,
}

impl DeferredInitLedger {
    pub(super) fn new() -> Self {
        Self {
            writer: Arc::default(),
        }
    }

    /// Sets the writer; later calls have no effect.
    pub(super) fn set(&self, writer: Writer) {
        let _ = self.writer.set(writer);
    }
}

impl LedgerService for DeferredInitLedger {
    async fn handle(&self, call: LedgerCall, now: Now) -> LedgerReply {
        match self.writer.get() {
            Some(writer) => writer.handle(call, now).await,
            None => LedgerReply::NotOwner,
        }
    }
}
