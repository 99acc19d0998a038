//! Stops of roll-outs: told to peers and recorded in the configuration.

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

/// How long peers are told of a stop that is not recorded yet, in milliseconds.
const NOTICE_MS: u64 = 3_600_000;

/// The pause before a stop that could not be recorded is tried again.
const RECORD_PAUSE: Duration = Duration::from_millis(500);

/// The author of recorded stops.
const AUTHOR: &str = "roll-out guard";

/// Stops the versions that a peer's guard has stopped.
pub(super) async fn learn(peers: Arc<Peers>, roll_outs: RollOuts) {
    let mut notices = peers.notices().subscribe();
    loop {
        match notices.recv().await {
            Ok(notice) if notice.kind == NoticeKind::GuardStop => {
                roll_outs.stop(VersionName::new(notice.key));
            }
            // A stop that was missed arrives with the configuration.
            Ok(_) | Err(RecvError::Lagged(_)) => {}
            Err(RecvError::Closed) => return,
        }
    }
}

/// Tells peers of each stop, then records it until it is recorded.
pub(super) async fn record(
    mut stopped: mpsc::UnboundedReceiver<StoppedVersion>,
    peers: Arc<Peers>,
    administration: impl Administration,
    clock: impl Clock,
) {
    while let Some(stopped) = stopped.recv().await {
        let now = clock.now();
        if let Err(error) = peers.publish_notice(notice(&stopped, now), now).await {
            tracing::error!(event = "HH0909", %error, "stop not told to peers");
        }
        while !record_once(&stopped, &administration, clock.now()).await {
            sleep(RECORD_PAUSE).await;
        }
    }
}

fn notice(stopped: &StoppedVersion, now: Now) -> Notice {
    Notice {
        kind: NoticeKind::GuardStop,
        key: stopped.version.to_string(),
        value: format!("{:?}", stopped.stop.metric),
        expires_unix_ms: now.unix_ms + NOTICE_MS,
    }
}

/// Returns whether the configuration records the stop.
async fn record_once(
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
        author: AUTHOR.to_owned(),
        at_unix_ms: now.unix_ms,
        edits: vec![RowEdit {
            key: row.key(),
            row: Some(row),
        }],
    };
    match administration.submit(change).await {
        Ok(ChangeAnswer::Written { .. }) => true,
        // An operator changed the roll-out meanwhile: look again.
        Ok(ChangeAnswer::Conflict { .. }) => false,
        Err(error) => {
            tracing::warn!(event = "HH0910", %error, "stop not recorded yet");
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
