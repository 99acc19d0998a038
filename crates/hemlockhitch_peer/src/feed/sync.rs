//! Synchronises the configuration with the store and with peers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hemlockhitch_config::NumberedChange;
use hemlockhitch_model::Clock;
use tokio::time::{sleep, timeout};

use super::{
    ConfigurationSource, MissingConfiguration, decode_changes, decode_configuration, encode_changes,
};
use crate::error::PeerError;
use crate::shared::Shared;
use crate::wire;

/// Interval at which a node that does not follow the store checks whether it should.
const FOLLOW_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Delay after a failed read of the store.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Number of peers to which a change is pushed at once.
const PUSH_FANOUT: usize = 3;

/// Maximum size of pushed changes, in bytes; peers fetch larger ones.
const MAX_PUSH_BYTES: usize = 64 << 10;

/// Keeps the configuration of this node and its peers in sync. Clones share their
/// state.
#[derive(Clone, Debug)]
pub(crate) struct ConfigurationSync {
    shared: Arc<Shared>,
    fetching: Arc<AtomicBool>,
}

impl ConfigurationSync {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            fetching: Arc::default(),
        }
    }

    /// Applies changes and pushes them to a few peers if they are new; returns whether
    /// the last of them is in force afterwards.
    pub(crate) fn apply_changes(&self, changes: Vec<NumberedChange>) -> bool {
        let before = self.shared.feed.generation();
        let complete = self.shared.apply_changes(&changes);
        if self.shared.feed.generation() > before {
            let sync = self.clone();
            self.shared.spawn(async move { sync.push(changes).await });
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
                // A peer that misses the push learns of the generation by gossip.
                let _ = shared.clients.push(&address, request).await;
            });
        }
    }

    /// Starts to fetch missing configuration from a peer, unless a fetch is running.
    pub(crate) fn fetch_soon(&self, address: String) {
        if self.fetching.swap(true, Ordering::SeqCst) {
            return;
        }
        let sync = self.clone();
        self.shared.spawn(async move {
            if let Err(error) = sync.fetch(&address).await {
                tracing::debug!(event = "HH0606", %error, "failed to fetch configuration from peer");
            }
            sync.fetching.store(false, Ordering::SeqCst);
        });
    }

    /// Fetches missing configuration from a peer.
    pub(crate) async fn fetch(&self, address: &str) -> Result<(), PeerError> {
        let request = wire::FetchRequest {
            generation: self.shared.feed.generation(),
        };
        let reply = self.shared.clients.fetch(address, request).await?;
        if reply.configuration_json.is_empty() {
            self.apply_changes(decode_changes(&reply.changes_json)?);
            self.shared.loaded.store(true, Ordering::SeqCst);
        } else {
            let configuration = decode_configuration(&reply.configuration_json)?;
            self.shared.replace_configuration(configuration);
        }
        Ok(())
    }

    /// Returns the reply to a fetch of a peer.
    pub(crate) fn serve_fetch(&self, request: wire::FetchRequest) -> wire::FetchReply {
        let mut reply = wire::FetchReply {
            generation: self.shared.feed.generation(),
            ..wire::FetchReply::default()
        };
        match self.shared.feed.missing_since(request.generation) {
            MissingConfiguration::Changes(changes) => reply.changes_json = encode_changes(&changes),
            MissingConfiguration::Full(configuration) => {
                let json = serde_json::to_vec(configuration.as_ref());
                reply.configuration_json = json.unwrap_or_default();
            }
        }
        reply
    }
}

/// Follows the configuration store for as long as this node should.
pub(crate) async fn follow_store<S, C>(sync: ConfigurationSync, source: S, clock: C)
where
    S: ConfigurationSource,
    C: Clock,
{
    loop {
        if !sync.shared.should_follow_store(clock.now()) {
            sleep(FOLLOW_CHECK_INTERVAL).await;
            continue;
        }
        if !read_store(&sync, &source, &clock).await {
            sleep(STORE_RETRY_DELAY).await;
        }
    }
}

/// Reads the configuration store once; returns whether it answered.
async fn read_store<S, C>(sync: &ConfigurationSync, source: &S, clock: &C) -> bool
where
    S: ConfigurationSource,
    C: Clock,
{
    let shared = &sync.shared;
    let timeout_ms = shared.settings.store_wait_ms + shared.settings.store_timeout_ms;
    let read_timeout = Duration::from_millis(timeout_ms);
    // The reply may be as old as the start of the call.
    let started = clock.now();
    if !shared.is_loaded() {
        let Ok(Ok(configuration)) = timeout(read_timeout, source.load()).await else {
            return false;
        };
        shared.replace_configuration(configuration);
        shared.last_contact.record_store_contact(started);
        return true;
    }
    let wait_ms = shared.settings.store_wait_ms;
    let changes = source.changes_after(shared.feed.generation(), wait_ms);
    let Ok(read) = timeout(read_timeout, changes).await else {
        return false;
    };
    // If the store no longer keeps the changes, the full configuration is loaded.
    let caught_up = read.is_ok_and(|changes| changes.is_empty() || sync.apply_changes(changes));
    if !caught_up {
        let Ok(Ok(configuration)) = timeout(read_timeout, source.load()).await else {
            return false;
        };
        shared.replace_configuration(configuration);
    }
    shared.last_contact.record_store_contact(started);
    true
}
