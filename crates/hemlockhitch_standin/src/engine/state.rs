//! The state that the engine's connections share.

use std::collections::{HashSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hemlockhitch_endpoint::engine::{KvHandle, LoadReport, Order, OrderAnswer};
use hemlockhitch_model::{RequestId, VersionName};
use tokio::sync::watch;
use tokio::time::Instant;

use super::EngineSettings;
use super::faults::{EngineFault, FaultState};
use super::load_history::LoadHistory;
use super::prefix_cache::{PrefixCache, export_prompt};
use super::stats::EngineStats;

/// The state; clones share it.
#[derive(Clone, Debug)]
pub(super) struct Shared {
    inner: Arc<Mutex<Inner>>,
    /// Changes when a running completion may have to end early.
    pub(super) wake: watch::Sender<u64>,
}

/// What the mutex guards.
#[derive(Debug)]
pub(super) struct Inner {
    pub(super) settings: EngineSettings,
    pub(super) faults: FaultState,
    pub(super) stats: EngineStats,
    pub(super) cache: PrefixCache,
    pub(super) exported: VecDeque<ExportedPrompt>,
    /// Grows when every connection is to break.
    pub(super) break_count: u64,
    pub(super) cancelled: HashSet<RequestId>,
    history: LoadHistory,
    /// `None` when the process started cold.
    cold_since: Option<Instant>,
    cold_until: Instant,
    highest_fencing: u64,
}

/// A prompt whose KV cache the engine may still export.
#[derive(Clone, Debug)]
pub(super) struct ExportedPrompt {
    pub(super) request_id: RequestId,
    pub(super) prompt: String,
}

/// How many prompts stay exportable.
const MAX_EXPORTED: usize = 256;

/// Why a completion does not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NotStarted {
    Broken,
    UnknownVersion,
    Refused,
    Overload,
    Failed,
}

impl Shared {
    pub(super) fn new(settings: EngineSettings) -> Self {
        let inner = Inner {
            cache: PrefixCache::new(settings.cache_blocks),
            cold_until: Instant::now() + settings.cold_start(),
            settings,
            faults: FaultState::default(),
            stats: EngineStats::default(),
            exported: VecDeque::new(),
            break_count: 0,
            cancelled: HashSet::new(),
            cold_since: None,
            history: LoadHistory::default(),
            highest_fencing: 0,
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
            wake: watch::Sender::new(0),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets a fault.
    pub(super) fn set_fault(&self, fault: EngineFault) {
        match fault {
            EngineFault::Crash => self.crash(),
            EngineFault::Down { on: true } => self.break_connections(),
            _ => {}
        }
        self.lock().set_fault(fault);
    }

    /// Ends a completion early.
    pub(super) fn cancel(&self, request_id: RequestId) {
        self.lock().cancelled.insert(request_id);
        self.wake.send_modify(|count| *count += 1);
    }

    /// Breaks every connection and starts cold.
    pub(super) fn crash(&self) {
        let mut inner = self.lock();
        inner.stats.crashes += 1;
        inner.cache.clear();
        inner.exported.clear();
        inner.start_cold();
        drop(inner);
        self.break_connections();
    }

    fn break_connections(&self) {
        self.lock().break_count += 1;
        self.wake.send_modify(|count| *count += 1);
    }
}

impl Inner {
    fn set_fault(&mut self, fault: EngineFault) {
        match &fault {
            EngineFault::ColdAgain { cold_limit } => {
                self.settings.cold_limit = cold_limit.unwrap_or(self.settings.cold_limit);
                self.start_cold();
            }
            EngineFault::WarmLimit { limit } => self.settings.warm_limit = *limit,
            _ => {}
        }
        self.faults.set(fault);
    }

    fn start_cold(&mut self) {
        let now = Instant::now();
        self.cold_since = Some(now);
        self.cold_until = now + self.settings.cold_start();
    }

    fn is_cold(&self) -> bool {
        Instant::now() < self.cold_until
    }

    fn limit(&self) -> u32 {
        if self.is_cold() {
            self.settings.cold_limit
        } else {
            self.settings.warm_limit
        }
    }

    fn serves(&self, version: &VersionName) -> bool {
        let versions = &self.settings.versions;
        versions.is_empty() || versions.contains(version)
    }

    /// Counts the start of a completion, or says why it does not start.
    pub(super) fn start(
        &mut self,
        request_id: RequestId,
        version: &VersionName,
    ) -> Result<(), NotStarted> {
        if self.faults.down {
            return Err(NotStarted::Broken);
        }
        if !self.serves(version) {
            return Err(NotStarted::UnknownVersion);
        }
        if self.faults.take_refusal() {
            self.stats.refused += 1;
            return Err(NotStarted::Refused);
        }
        if self.stats.running >= self.limit() {
            self.stats.overloads += 1;
            return Err(NotStarted::Overload);
        }
        self.count_start(request_id, version);
        if self.faults.take_error(version) {
            self.stats.failed += 1;
            self.count_end();
            return Err(NotStarted::Failed);
        }
        Ok(())
    }

    fn count_start(&mut self, request_id: RequestId, version: &VersionName) {
        let cold = self.is_cold();
        let stats = &mut self.stats;
        stats.started += 1;
        stats.running += 1;
        stats.peak_running = stats.peak_running.max(stats.running);
        if cold {
            stats.peak_running_cold = stats.peak_running_cold.max(stats.running);
        }
        *stats.started_by_request.entry(request_id).or_default() += 1;
        *stats.started_by_version.entry(version.clone()).or_default() += 1;
        self.cancelled.remove(&request_id);
        self.history.record(self.stats.running, Instant::now());
    }

    /// Counts that a completion runs no longer.
    pub(super) fn count_end(&mut self) {
        self.stats.running -= 1;
        self.history.record(self.stats.running, Instant::now());
    }

    /// Keeps a prompt for an export of its KV cache.
    pub(super) fn keep_prompt(&mut self, request_id: RequestId, prompt: &str) {
        self.exported.push_back(ExportedPrompt {
            request_id,
            prompt: prompt.to_owned(),
        });
        if self.exported.len() > MAX_EXPORTED {
            self.exported.pop_front();
        }
    }

    /// Exports the KV cache of a request.
    pub(super) fn export(&self, request_id: RequestId) -> Option<KvHandle> {
        let kept = self.exported.iter().rev();
        let mut kept = kept.filter(|kept| kept.request_id == request_id);
        kept.next().map(|kept| export_prompt(&kept.prompt))
    }

    /// Returns the time to the first token.
    pub(super) fn prefill(&mut self, prompt: &str) -> Duration {
        let cached_chars = self.cache.use_prompt(prompt);
        self.stats.cached_chars += cached_chars as u64;
        let uncached_chars = prompt.chars().count().saturating_sub(cached_chars);
        #[allow(clippy::cast_precision_loss)]
        let ms = uncached_chars as f64 / 1_000.0 * self.settings.prefill_ms;
        self.slowed(ms)
    }

    /// Returns the time to the next token.
    pub(super) fn token_time(&self) -> Duration {
        let others = f64::from(self.stats.running.saturating_sub(1));
        let batch_ratio = 1.0 + others * self.settings.batch_slowdown_ratio;
        self.slowed(self.settings.token_ms * batch_ratio)
    }

    fn slowed(&self, ms: f64) -> Duration {
        let slow_ratio = self.faults.slow_ratio.unwrap_or(1.0);
        Duration::try_from_secs_f64(ms * slow_ratio / 1_000.0).unwrap_or_default()
    }

    /// Reports the load as it was some time ago.
    pub(super) fn load(&self) -> LoadReport {
        let lag = self.settings.load_lag();
        let now = Instant::now();
        let turned_cold = self.cold_since.is_none_or(|since| since + lag <= now);
        let cold =
            turned_cold && now < self.cold_until + lag && !self.settings.cold_start().is_zero();
        let limit = if cold {
            self.settings.cold_limit
        } else {
            self.settings.warm_limit
        };
        LoadReport {
            running: self.history.running_before(lag, now),
            waiting: 0,
            limit,
            cold,
            at_unix_ms: unix_ms().saturating_sub(self.settings.load_lag_ms),
        }
    }

    /// Carries out an order; versions that are new make the engine cold.
    pub(super) fn order(&mut self, order: Order) -> OrderAnswer {
        if self.settings.checks_orders && order.fencing < self.highest_fencing {
            return OrderAnswer::Fenced {
                highest: self.highest_fencing,
            };
        }
        self.highest_fencing = self.highest_fencing.max(order.fencing);
        if order.versions.iter().any(|version| !self.serves(version)) {
            self.start_cold();
        }
        self.settings.versions = order.versions;
        OrderAnswer::Accepted
    }
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
