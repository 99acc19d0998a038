//! Requests that crash endpoints, known to every node by notices.

use hemlockhitch_model::Now;
use hemlockhitch_peer::{Notice, NoticeKind, Notices};
use hemlockhitch_router::{Fingerprint, SUSPICION_MS, Suspects};

/// Counts crashes in notices.
#[derive(Clone, Debug)]
pub(super) struct NoticeSuspects {
    notices: Notices,
}

impl NoticeSuspects {
    pub(super) fn new(notices: Notices) -> Self {
        Self { notices }
    }

    fn post(&self, request: Fingerprint, crashes: u32, now: Now) {
        let notice = Notice {
            kind: NoticeKind::Poison,
            key: key(request),
            value: crashes.to_string(),
            // A later notice replaces an earlier one by its expiry.
            expires_unix_ms: now.unix_ms + SUSPICION_MS + u64::from(crashes),
        };
        if let Err(error) = self.notices.post(notice, now) {
            tracing::error!(event = "HH0908", %error, "crash not told to peers");
        }
    }
}

impl Suspects for NoticeSuspects {
    fn crashes(&self, request: Fingerprint, now: Now) -> u32 {
        let notice = self.notices.get(NoticeKind::Poison, &key(request), now);
        notice
            .and_then(|notice| notice.value.parse().ok())
            .unwrap_or(0)
    }

    async fn crashed(&self, request: Fingerprint, now: Now) -> u32 {
        let crashes = self.crashes(request, now) + 1;
        self.post(request, crashes, now);
        crashes
    }

    fn served(&self, request: Fingerprint, now: Now) {
        if self.crashes(request, now) > 0 {
            self.post(request, 0, now);
        }
    }
}

fn key(request: Fingerprint) -> String {
    format!("{:016x}", request.0)
}
