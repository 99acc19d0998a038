//! Transport of ledger calls between nodes.

use std::sync::Arc;

use hemlockhitch_ledger::call::{LedgerCall, LedgerReply, LedgerTransport};
use hemlockhitch_ledger::{LedgerError, LedgerErrorKind};

use crate::ownership::Bucket;
use crate::shared::Shared;
use crate::wire;

/// Sends ledger calls to the nodes that own the shards.
#[derive(Clone, Debug)]
pub struct PeerTransport {
    shared: Arc<Shared>,
}

impl PeerTransport {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }
}

impl LedgerTransport for PeerTransport {
    async fn call(&self, address: &str, call: LedgerCall) -> Result<LedgerReply, LedgerError> {
        let shard = call.shard(self.shared.settings.ledger_shards);
        let call_json = serde_json::to_vec(&call).map_err(|error| codec_error(&error))?;
        let request = wire::LedgerRequest { call_json };
        let reply = self
            .shared
            .clients
            .ledger(address, request)
            .await
            .map_err(|error| LedgerError::new(LedgerErrorKind::Unavailable, error.to_string()))?;
        let ledger_reply =
            serde_json::from_slice(&reply.reply_json).map_err(|error| codec_error(&error))?;
        // The next attempt goes to the owner that the called node names.
        if reply.owner.is_some() || ledger_reply == LedgerReply::NotOwner {
            let bucket = Bucket::of_shard(shard);
            self.shared.ownership.handle_not_owner(bucket, reply.owner);
        }
        Ok(ledger_reply)
    }
}

fn codec_error(error: &serde_json::Error) -> LedgerError {
    LedgerError::new(
        LedgerErrorKind::Corrupt,
        format!("message between nodes: {error}; run one release on all nodes"),
    )
}
