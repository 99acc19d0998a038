//! Roll-out stops: published to peers and recorded in the configuration.

use std::sync::Arc;
use std::time::Duration;

use hemlockhitch_config::admin::ChangeAnswer;
use hemlockhitch_config::configuration::{RollOut, RollOutState};
use hemlockhitch_config::{Change, Configuration, Row, RowEdit};
use hemlockhitch_http::admin::Administration;
use hemlockhitch_model::{ChangeId, Clock, Now, VersionName};
use hemlockhitch_peer::{Notice, NoticeKind, Peers};
use hemlockhitch_router::{RollOuts, StoppedVersion};
use tokio::sync::broadcast::error::RecvError;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// Lifetime of the notice about a stop, in milliseconds; it covers the time until the
/// configuration records the stop.
const NOTICE_TTL_MS: u64 = 3_600_000;

/// Pause before a failed attempt to record a stop is retried.
const RECORD_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Author of the configuration changes that record stops.
const GUARD_AUTHOR: &str = "roll-out guard";

/// Stops locally the versions that the roll-out guard of a peer has stopped.
pub(super) async fn apply_peer_stops(peers: Arc<Peers>, roll_outs: RollOuts) {
    let mut notices = peers.notices().subscribe();
    loop {
        match notices.recv().await {
            Ok(notice) if notice.kind == NoticeKind::GuardStop => {
                roll_outs.stop(VersionName::new(notice.key));
            }
            // Missed stops arrive later with the configuration.
            Ok(_) | Err(RecvError::Lagged(_)) => {}
            Err(RecvError::Closed) => return,
        }
    }
}

/// Publishes each stop to the peers, then retries until the configuration records it.
pub(super) async fn publish_and_record(
    mut stopped: mpsc::UnboundedReceiver<StoppedVersion>,
    peers: Arc<Peers>,
    administration: impl Administration,
    clock: impl Clock,
) {
    while let Some(stopped) = stopped.recv().await {
        let now = clock.now();
        if let Err(error) = peers.publish_notice(notice(&stopped, now), now).await {
            tracing::error!(event = "HH0909", %error, "failed to publish the roll-out stop to peers");
        }
        while !try_record(&stopped, &administration, clock.now()).await {
            sleep(RECORD_RETRY_PAUSE).await;
        }
    }
}

fn notice(stopped: &StoppedVersion, now: Now) -> Notice {
    Notice {
        kind: NoticeKind::GuardStop,
        key: stopped.version.to_string(),
        value: format!("{:?}", stopped.stop.metric),
        expires_unix_ms: now.unix_ms + NOTICE_TTL_MS,
    }
}

/// Tries to record the stop; returns whether the configuration now records it or the
/// roll-out is no longer running.
async fn try_record(
    stopped: &StoppedVersion,
    administration: &impl Administration,
    now: Now,
) -> bool {
    let configuration = administration.configuration();
    let Some(running) = running_roll_out(&configuration, &stopped.version) else {
        return true;
    };
    let row = Row::RollOut(RollOut {
        state: RollOutState::Stopped,
        ..running
    });
    let change = Change {
        id: ChangeId::random(),
        base_generation: configuration.generation,
        author: GUARD_AUTHOR.to_owned(),
        at_unix_ms: now.unix_ms,
        edits: vec![RowEdit {
            key: row.key(),
            row: Some(row),
        }],
    };
    match administration.submit(change).await {
        Ok(ChangeAnswer::Written { .. }) => true,
        // The row changed concurrently: retry with the current configuration.
        Ok(ChangeAnswer::Conflict { .. }) => false,
        Err(error) => {
            tracing::warn!(event = "HH0910", %error, "failed to record the roll-out stop; retrying");
            false
        }
    }
}

fn running_roll_out(configuration: &Configuration, version: &VersionName) -> Option<RollOut> {
    configuration
        .existing_rows()
        .find_map(|(_, row)| match row {
            Row::RollOut(row) if row.to == *version && row.state == RollOutState::Running => {
                Some(row.clone())
            }
            _ => None,
        })
}
