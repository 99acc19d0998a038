//! Replies that wait for their batch.

use hemlockhitch_ports::key_value::KeyValue;
use tokio::sync::oneshot;

use crate::bill::Bill;
use crate::call::LedgerReply;
use crate::log::ShardLog;
use crate::record::Record;
use crate::snapshot::RecordedBill;
use crate::{LedgerError, LedgerErrorKind};

/// A reply that is sent once its batch is in the log.
pub(super) struct Due {
    pub(super) reply: oneshot::Sender<LedgerReply>,
    pub(super) answer: Answer,
}

/// Where the content of a reply comes from.
pub(super) enum Answer {
    /// It is known.
    Ready(LedgerReply),
    /// It is read again from the log.
    Read(RecordedBill),
}

/// Sends the replies of a batch that is in the log.
pub(super) async fn send<K: KeyValue>(log: &ShardLog<K>, due: Vec<Due>) {
    for Due { reply, answer } in due {
        let answer = match answer {
            Answer::Ready(answer) => answer,
            Answer::Read(recorded) => read_bill(log, recorded).await,
        };
        let _ = reply.send(answer);
    }
}

/// Reports `error` to the callers of a batch that was not needed.
pub(super) fn refuse(due: Vec<Due>, error: &LedgerError) {
    for Due { reply, .. } in due {
        let _ = reply.send(LedgerReply::failed(error));
    }
}

async fn read_bill<K: KeyValue>(log: &ShardLog<K>, recorded: RecordedBill) -> LedgerReply {
    let batch = match log.read(recorded.seq).await {
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
