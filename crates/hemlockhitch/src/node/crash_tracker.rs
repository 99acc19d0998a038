//! Tracks requests that crash endpoints, in notices that reach every node.

use std::sync::Arc;

use hemlockhitch_model::Now;
use hemlockhitch_peer::{Notice, NoticeKind, PeerError, Peers};
use hemlockhitch_router::{CRASH_RECORD_TTL_MS, CrashTracker, RequestFingerprint};

/// Keeps the crash counts in notices.
#[derive(Clone, Debug)]
pub(super) struct NoticeCrashTracker {
    peers: Arc<Peers>,
}

impl NoticeCrashTracker {
    pub(super) fn new(peers: Arc<Peers>) -> Self {
        Self { peers }
    }
}

impl CrashTracker for NoticeCrashTracker {
    fn crash_count(&self, request: RequestFingerprint, now: Now) -> u32 {
        let notices = self.peers.notices();
        let notice = notices.get(NoticeKind::RequestCrashes, &key(request), now);
        notice
            .and_then(|notice| notice.value.parse().ok())
            .unwrap_or(0)
    }

    /// Returns once the nodes that answer know of the crash, so that the caller
    /// cannot have the request run again by a node that does not.
    async fn record_crash(&self, request: RequestFingerprint, now: Now) -> u32 {
        let crash_count = self.crash_count(request, now) + 1;
        let published = self
            .peers
            .publish_notice(notice(request, crash_count, now), now)
            .await;
        report(published);
        crash_count
    }

    fn record_success(&self, request: RequestFingerprint, now: Now) {
        if self.crash_count(request, now) > 0 {
            let posted = self.peers.notices().post(notice(request, 0, now), now);
            report(posted);
        }
    }
}

fn notice(request: RequestFingerprint, crash_count: u32, now: Now) -> Notice {
    Notice {
        kind: NoticeKind::RequestCrashes,
        key: key(request),
        value: crash_count.to_string(),
        // A later notice replaces an earlier one by its expiry.
        expires_unix_ms: now.unix_ms + CRASH_RECORD_TTL_MS + u64::from(crash_count),
    }
}

fn report(published: Result<(), PeerError>) {
    if let Err(error) = published {
        tracing::error!(event = "HH0908", %error, "crash not told to peers");
    }
}

fn key(request: RequestFingerprint) -> String {
    format!("{:016x}", request.0)
}
