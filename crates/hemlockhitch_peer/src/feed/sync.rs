//! Moves the configuration from the store to this node and between peers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hemlockhitch_config::NumberedChange;
use hemlockhitch_model::Clock;
use tokio::time::{sleep, timeout};

use super::{ConfigurationSource, Missing, decode_changes, decode_configuration, encode_changes};
use crate::error::PeerError;
use crate::shared::Shared;
use crate::wire;

/// How often a node that does not follow the store checks whether it should.
const FOLLOW_CHECK: Duration = Duration::from_millis(200);

/// The pause after the store failed.
const STORE_RETRY: Duration = Duration::from_millis(500);

/// Peers that are told at once of a change.
const PUSH_FANOUT: usize = 3;

/// The largest changes that are pushed, in bytes; peers fetch larger ones.
const MAX_PUSH_BYTES: usize = 64 << 10;

/// Keeps the configuration of this node up with peers.
#[derive(Clone, Debug)]
pub(crate) struct Spread {
    shared: Arc<Shared>,
    fetching: Arc<AtomicBool>,
}

impl Spread {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            fetching: Arc::default(),
        }
    }

    /// Puts changes in force and tells a few peers; returns whether none is
    /// missing before them.
    pub(crate) fn take_changes(&self, changes: Vec<NumberedChange>) -> bool {
        let before = self.shared.feed.generation();
        let complete = self.shared.apply_changes(&changes);
        if self.shared.feed.generation() > before {
            let spread = self.clone();
            self.shared.spawn(async move { spread.push(changes).await });
        }
        complete
    }

    async fn push(&self, changes: Vec<NumberedChange>) {
        let changes_json = encode_changes(&changes);
        let small = changes_json.len() <= MAX_PUSH_BYTES;
        let request = wire::PushRequest {
            sender: Some(self.shared.own_wire()),
            changes_json: if small { changes_json } else { Vec::new() },
        };
        let targets = self
            .shared
            .members()
            .lagging(self.shared.feed.generation(), PUSH_FANOUT);
        for (_, address) in targets {
            let shared = self.shared.clone();
            let request = request.clone();
            self.shared.spawn(async move {
                // A peer that missed the push learns from an exchange.
                let _ = shared.clients.push(&address, request).await;
            });
        }
    }

    /// Fetches from a peer what this node lacks, unless a fetch is running.
    pub(crate) fn fetch_soon(&self, address: String) {
        if self.fetching.swap(true, Ordering::SeqCst) {
            return;
        }
        let spread = self.clone();
        self.shared.spawn(async move {
            if let Err(error) = spread.fetch(&address).await {
                tracing::debug!(event = "HH0606", %error, "configuration not fetched");
            }
            spread.fetching.store(false, Ordering::SeqCst);
        });
    }

    /// Fetches from a peer what this node lacks.
    pub(crate) async fn fetch(&self, address: &str) -> Result<(), PeerError> {
        let request = wire::FetchRequest {
            generation: self.shared.feed.generation(),
        };
        let reply = self.shared.clients.fetch(address, request).await?;
        if reply.configuration_json.is_empty() {
            self.take_changes(decode_changes(&reply.changes_json)?);
            self.shared.loaded.store(true, Ordering::SeqCst);
        } else {
            let configuration = decode_configuration(&reply.configuration_json)?;
            self.shared.replace_configuration(configuration);
        }
        Ok(())
    }

    /// Answers a peer that fetches.
    pub(crate) fn serve_fetch(&self, request: wire::FetchRequest) -> wire::FetchReply {
        let mut reply = wire::FetchReply {
            generation: self.shared.feed.generation(),
            ..wire::FetchReply::default()
        };
        match self.shared.feed.missing_after(request.generation) {
            Missing::Changes(changes) => reply.changes_json = encode_changes(&changes),
            Missing::Whole(configuration) => {
                let json = serde_json::to_vec(configuration.as_ref());
                reply.configuration_json = json.unwrap_or_default();
            }
        }
        reply
    }
}

/// Follows the store while this node should.
pub(crate) async fn follow_store<S, C>(spread: Spread, source: S, clock: C)
where
    S: ConfigurationSource,
    C: Clock,
{
    loop {
        if !spread.shared.follows_store(clock.now()) {
            sleep(FOLLOW_CHECK).await;
            continue;
        }
        if !read_store(&spread, &source, &clock).await {
            sleep(STORE_RETRY).await;
        }
    }
}

/// Reads the store once; returns whether it answered.
async fn read_store<S, C>(spread: &Spread, source: &S, clock: &C) -> bool
where
    S: ConfigurationSource,
    C: Clock,
{
    let shared = &spread.shared;
    let bound_ms = shared.settings.store_wait_ms + shared.settings.store_timeout_ms;
    let bound = Duration::from_millis(bound_ms);
    // What the store says is counted from before it was asked.
    let asked = clock.now();
    if !shared.is_loaded() {
        let Ok(Ok(configuration)) = timeout(bound, source.load()).await else {
            return false;
        };
        shared.replace_configuration(configuration);
        shared.contact.heard_store(asked);
        return true;
    }
    let wait_ms = shared.settings.store_wait_ms;
    let changes = source.changes_after(shared.feed.generation(), wait_ms);
    let Ok(read) = timeout(bound, changes).await else {
        return false;
    };
    // Changes that are no longer kept are read as a whole configuration.
    let caught_up = read.is_ok_and(|changes| changes.is_empty() || spread.take_changes(changes));
    if !caught_up {
        let Ok(Ok(configuration)) = timeout(bound, source.load()).await else {
            return false;
        };
        shared.replace_configuration(configuration);
    }
    shared.contact.heard_store(asked);
    true
}
