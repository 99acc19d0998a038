//! Requests that crash endpoints, known to every node by notices.

use std::sync::Arc;

use hemlockhitch_model::Now;
use hemlockhitch_peer::{Notice, NoticeKind, PeerError, Peers};
use hemlockhitch_router::{Fingerprint, SUSPICION_MS, Suspects};

/// Counts crashes in notices.
#[derive(Clone, Debug)]
pub(super) struct NoticeSuspects {
    peers: Arc<Peers>,
}

impl NoticeSuspects {
    pub(super) fn new(peers: Arc<Peers>) -> Self {
        Self { peers }
    }
}

impl Suspects for NoticeSuspects {
    fn crashes(&self, request: Fingerprint, now: Now) -> u32 {
        let notices = self.peers.notices();
        let notice = notices.get(NoticeKind::Poison, &key(request), now);
        notice
            .and_then(|notice| notice.value.parse().ok())
            .unwrap_or(0)
    }

    /// Returns once the nodes that answer know of the crash, so that the caller
    /// cannot have the request run again by a node that does not.
    async fn crashed(&self, request: Fingerprint, now: Now) -> u32 {
        let crashes = self.crashes(request, now) + 1;
        let told = self.peers.tell(notice(request, crashes, now), now).await;
        report(told);
        crashes
    }

    fn served(&self, request: Fingerprint, now: Now) {
        if self.crashes(request, now) > 0 {
            let posted = self.peers.notices().post(notice(request, 0, now), now);
            report(posted);
        }
    }
}

fn notice(request: Fingerprint, crashes: u32, now: Now) -> Notice {
    Notice {
        kind: NoticeKind::Poison,
        key: key(request),
        value: crashes.to_string(),
        // A later notice replaces an earlier one by its expiry.
        expires_unix_ms: now.unix_ms + SUSPICION_MS + u64::from(crashes),
    }
}

fn report(told: Result<(), PeerError>) {
    if let Err(error) = told {
        tracing::error!(event = "HH0908", %error, "crash not told to peers");
    }
}

fn key(request: Fingerprint) -> String {
    format!("{:016x}", request.0)
}
