//! State shared by the connections of the engine.

use std::collections::{HashSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hemlockhitch_endpoint::engine::{KvHandle, LoadReport, Order, OrderResponse};
use hemlockhitch_model::{RequestId, VersionName};
use tokio::sync::watch;
use tokio::time::Instant;

use super::EngineSettings;
use super::faults::{EngineFault, FaultState};
use super::load_history::LoadHistory;
use super::prefix_cache::{PrefixCache, export_prompt};
use super::stats::EngineStats;

/// Handle of the shared state; clones refer to the same state.
#[derive(Clone, Debug)]
pub(super) struct Shared {
    inner: Arc<Mutex<Inner>>,
    /// Notifies running completions of cancellations and disconnections.
    pub(super) wake: watch::Sender<u64>,
}

/// State protected by the mutex.
#[derive(Debug)]
pub(super) struct Inner {
    pub(super) settings: EngineSettings,
    pub(super) faults: FaultState,
    pub(super) stats: EngineStats,
    pub(super) cache: PrefixCache,
    pub(super) exportable_prompts: VecDeque<ExportablePrompt>,
    /// Incremented to abort every running completion.
    pub(super) disconnect_count: u64,
    pub(super) cancelled: HashSet<RequestId>,
    history: LoadHistory,
    /// Start of the latest cold start; `None` before the first one that was injected
    /// or ordered.
    cold_since: Option<Instant>,
    cold_until: Instant,
    highest_fencing_token: u64,
}

/// Prompt of a request whose KV cache can be exported.
#[derive(Clone, Debug)]
pub(super) struct ExportablePrompt {
    pub(super) request_id: RequestId,
    pub(super) prompt: String,
}

/// Maximum number of prompts that stay exportable; the oldest is dropped first.
const MAX_EXPORTABLE_PROMPTS: usize = 256;

/// Why a completion was not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StartError {
    Down,
    UnknownVersion,
    Refused,
    Overloaded,
    InjectedError,
}

impl Shared {
    pub(super) fn new(settings: EngineSettings) -> Self {
        let inner = Inner {
            cache: PrefixCache::new(settings.cache_blocks),
            cold_until: Instant::now() + settings.cold_start(),
            settings,
            faults: FaultState::default(),
            stats: EngineStats::default(),
            exportable_prompts: VecDeque::new(),
            disconnect_count: 0,
            cancelled: HashSet::new(),
            cold_since: None,
            history: LoadHistory::default(),
            highest_fencing_token: 0,
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
            EngineFault::Down { on: true } => self.abort_connections(),
            _ => {}
        }
        self.lock().set_fault(fault);
    }

    /// Cancels a completion.
    pub(super) fn cancel(&self, request_id: RequestId) {
        self.lock().cancelled.insert(request_id);
        self.wake.send_modify(|count| *count += 1);
    }

    /// Simulates a crash: clears the caches, begins a cold start and aborts every
    /// running completion.
    pub(super) fn crash(&self) {
        let mut inner = self.lock();
        inner.stats.crashes += 1;
        inner.cache.clear();
        inner.exportable_prompts.clear();
        inner.start_cold();
        drop(inner);
        self.abort_connections();
    }

    fn abort_connections(&self) {
        self.lock().disconnect_count += 1;
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

    /// Counts a completion as started, or returns why it cannot start.
    pub(super) fn start(
        &mut self,
        request_id: RequestId,
        version: &VersionName,
    ) -> Result<(), StartError> {
        if self.faults.down {
            return Err(StartError::Down);
        }
        if !self.serves(version) {
            return Err(StartError::UnknownVersion);
        }
        if self.faults.consume_refusal() {
            self.stats.refused += 1;
            return Err(StartError::Refused);
        }
        if self.stats.running >= self.limit() {
            self.stats.overloads += 1;
            return Err(StartError::Overloaded);
        }
        self.count_start(request_id, version);
        if self.faults.consume_error(version) {
            self.stats.failed += 1;
            self.count_end();
            return Err(StartError::InjectedError);
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

    /// Counts the end of a running completion.
    pub(super) fn count_end(&mut self) {
        self.stats.running -= 1;
        self.history.record(self.stats.running, Instant::now());
    }

    /// Retains a prompt so that its KV cache can be exported.
    pub(super) fn retain_prompt(&mut self, request_id: RequestId, prompt: &str) {
        self.exportable_prompts.push_back(ExportablePrompt {
            request_id,
            prompt: prompt.to_owned(),
        });
        if self.exportable_prompts.len() > MAX_EXPORTABLE_PROMPTS {
            self.exportable_prompts.pop_front();
        }
    }

    /// Returns the KV cache handle of a request, or `None` if it is no longer retained.
    pub(super) fn export(&self, request_id: RequestId) -> Option<KvHandle> {
        let prompts = self.exportable_prompts.iter().rev();
        let mut prompts = prompts.filter(|prompt| prompt.request_id == request_id);
        prompts.next().map(|prompt| export_prompt(&prompt.prompt))
    }

    /// Returns the prefill time of a prompt and adds the prompt to the prefix cache.
    pub(super) fn prefill_time(&mut self, prompt: &str) -> Duration {
        let cached_chars = self.cache.lookup_and_insert(prompt);
        self.stats.cached_chars += cached_chars as u64;
        let uncached_chars = prompt.chars().count().saturating_sub(cached_chars);
        #[allow(clippy::cast_precision_loss)]
        let ms = uncached_chars as f64 / 1_000.0 * self.settings.prefill_ms;
        self.scaled_time(ms)
    }

    /// Returns the time for one token at the current batch size.
    pub(super) fn token_time(&self) -> Duration {
        let others = f64::from(self.stats.running.saturating_sub(1));
        let batch_ratio = 1.0 + others * self.settings.batch_slowdown_ratio;
        self.scaled_time(self.settings.token_ms * batch_ratio)
    }

    fn scaled_time(&self, ms: f64) -> Duration {
        let slowdown_ratio = self.faults.slowdown_ratio.unwrap_or(1.0);
        Duration::try_from_secs_f64(ms * slowdown_ratio / 1_000.0).unwrap_or_default()
    }

    /// Reports the load as it was [`EngineSettings::load_lag_ms`] ago.
    pub(super) fn load(&self) -> LoadReport {
        let lag = self.settings.load_lag();
        let now = Instant::now();
        let cold_start_visible = self.cold_since.is_none_or(|since| since + lag <= now);
        let cold = cold_start_visible
            && now < self.cold_until + lag
            && !self.settings.cold_start().is_zero();
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

    /// Applies an order unless its fencing number is stale; new versions trigger a cold
    /// start.
    pub(super) fn apply_order(&mut self, order: Order) -> OrderResponse {
        if self.settings.checks_fencing && order.fencing < self.highest_fencing_token {
            return OrderResponse::Fenced {
                highest: self.highest_fencing_token,
            };
        }
        self.highest_fencing_token = self.highest_fencing_token.max(order.fencing);
        if order.versions.iter().any(|version| !self.serves(version)) {
            self.start_cold();
        }
        self.settings.versions = order.versions;
        OrderResponse::Accepted
    }
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
