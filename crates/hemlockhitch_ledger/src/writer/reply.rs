//! Replies that are sent once their batch is written.

use hemlockhitch_ports::key_value::KeyValue;
use tokio::sync::oneshot;

use crate::bill::Bill;
use crate::call::LedgerReply;
use crate::log::ShardLog;
use crate::record::Record;
use crate::snapshot::RecordedBill;
use crate::{LedgerError, LedgerErrorKind};

/// A reply that is due once its batch is in the log.
pub(super) struct PendingReply {
    pub(super) reply: oneshot::Sender<LedgerReply>,
    pub(super) content: ReplyContent,
}

/// Content of a pending reply.
pub(super) enum ReplyContent {
    /// A reply that is ready to send.
    Ready(LedgerReply),
    /// A bill that must be read from the log.
    Read(RecordedBill),
}

/// Sends the replies of a batch after it was written or verified.
pub(super) async fn send_all<K: KeyValue>(log: &ShardLog<K>, replies: Vec<PendingReply>) {
    for PendingReply { reply, content } in replies {
        let ledger_reply = match content {
            ReplyContent::Ready(ready) => ready,
            ReplyContent::Read(recorded) => read_bill(log, recorded).await,
        };
        let _ = reply.send(ledger_reply);
    }
}

/// Sends `error` to the callers of read-only calls that could not be verified.
pub(super) fn fail(replies: Vec<PendingReply>, error: &LedgerError) {
    for PendingReply { reply, .. } in replies {
        let _ = reply.send(LedgerReply::failed(error));
    }
}

async fn read_bill<K: KeyValue>(log: &ShardLog<K>, recorded: RecordedBill) -> LedgerReply {
    let batch = match log.read_batch(recorded.seq).await {
        Ok(batch) => batch,
        Err(error) => return LedgerReply::failed(&error),
    };
    let records = batch.map(|batch| batch.records).unwrap_or_default();
    let mut bills = records.into_iter().filter_map(bill_of);
    match bills.find(|bill| bill.request_id == recorded.request_id) {
        Some(bill) => LedgerReply::Bill(Some(bill)),
        None => LedgerReply::Failed {
            kind: LedgerErrorKind::Expired,
            detail: "the request was billed; its bill has left the log and is in the sums"
                .to_owned(),
        },
    }
}

fn bill_of(record: Record) -> Option<Bill> {
    match record {
        Record::Billed(bill) | Record::BilledLate(bill) => Some(bill),
        _ => None,
    }
}
