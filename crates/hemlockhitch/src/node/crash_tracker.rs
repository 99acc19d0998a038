//! Crash tracker that shares its counts with all nodes through peer notices.

use std::sync::Arc;

use hemlockhitch_model::Now;
use hemlockhitch_peer::{Notice, NoticeKind, PeerError, Peers};
use hemlockhitch_router::{CRASH_RECORD_TTL_MS, CrashTracker, RequestFingerprint};

/// Stores the crash count of each request fingerprint in a peer notice.
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

    /// Returns once all reachable nodes have the new count; otherwise the caller could
    /// retry the request on a node that has not yet learned of the crash.
    async fn record_crash(&self, request: RequestFingerprint, now: Now) -> u32 {
        let crash_count = self.crash_count(request, now) + 1;
        let published = self
            .peers
            .publish_notice(notice(request, crash_count, now), now)
            .await;
        log_failure(published);
        crash_count
    }

    fn record_success(&self, request: RequestFingerprint, now: Now) {
        if self.crash_count(request, now) > 0 {
            let posted = self.peers.notices().post(notice(request, 0, now), now);
            log_failure(posted);
        }
    }
}

fn notice(request: RequestFingerprint, crash_count: u32, now: Now) -> Notice {
    Notice {
        kind: NoticeKind::RequestCrashes,
        key: key(request),
        value: crash_count.to_string(),
        // The notice with the later expiry wins, so the expiry grows with the count.
        expires_unix_ms: now.unix_ms + CRASH_RECORD_TTL_MS + u64::from(crash_count),
    }
}

fn log_failure(published: Result<(), PeerError>) {
    if let Err(error) = published {
        tracing::error!(event = "HH0908", %error, "failed to publish the crash record to peers");
    }
}

fn key(request: RequestFingerprint) -> String {
    format!("{:016x}", request.0)
}
