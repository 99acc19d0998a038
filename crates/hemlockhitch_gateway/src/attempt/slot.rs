//! A place at an endpoint, taken for one try.

use std::net::SocketAddr;

use hemlockhitch_model::{Clock, EndpointKey, EndpointName, Now, VersionName};
use hemlockhitch_routing::fleet::Sign;
use hemlockhitch_routing::place::{Demand, Prompt, Wanted, choose_endpoint};
use hemlockhitch_routing::roll_out::{Observation, RollOut, Stage};
use hemlockhitch_routing::{hash_bytes, mix};

use super::context::{Job, Log};
use crate::dialect::Dialect;
use crate::state::{Shared, State};

/// Part of its objective within which an answer is never slow: about what an unloaded
/// endpoint takes.
const IN_TIME_DIVISOR: u64 = 16;

/// Events from which the pace of a stream is compared; the pace of fewer is that of
/// one pause.
const COMPARED_EVENTS: u64 = 3;

/// Time within which the events of a stream are never slow, in milliseconds: several
/// pauses for prompts that are read between them.
const EVENTS_IN_TIME_MS: u64 = 100;

/// A place at an endpoint; it is free again when it is dropped.
#[derive(Debug)]
pub(super) struct Place<D: Dialect, C: Clock> {
    shared: Shared<D, C>,
    pub(super) endpoint: EndpointKey,
    pub(super) name: EndpointName,
    pub(super) address: SocketAddr,
    version: VersionName,
    model_hash: u64,
    unread_tokens: u64,
    taken_mono_ms: u64,
    read_mono_ms: u64,
}

impl<D: Dialect, C: Clock> Place<D, C> {
    /// Chooses an endpoint and takes a place; `None` if none may be asked now.
    pub(super) fn take(shared: &Shared<D, C>, job: &Job<D, C>, log: &Log) -> Option<Self> {
        let now = shared.now();
        let settings = shared.settings();
        let mut state = shared.state();
        let state = &mut *state;
        let service = state.catalogue.as_ref()?.find_service(&job.service)?;
        let cold = state.cold_rate(service, settings);
        let model = job.model_of(log.size).or(job.terms.model.as_deref());
        let model_hash = model.map_or(0, hash_bytes);
        let prompt = (job.terms.prompt_tokens > 0).then_some(Prompt {
            model_hash,
            parts: &job.terms.parts,
            tokens: job.terms.prompt_tokens,
            kept_ms: settings.part_kept_ms,
        });
        let demand = Demand {
            service: &job.service,
            home: &settings.data_centre,
            tried: &log.tried,
            prompt,
            cold,
            draw: mix(hash_bytes(&job.terms.request), log.tried.len() as u64),
        };
        let choose = |wanted: Wanted<'_>| choose_endpoint(&state.fleet, &demand, wanted, now);
        let endpoint = choose_version(state, job, choose, now)?;
        let known = state.fleet.get_mut(endpoint)?;
        let unread_tokens = job.terms.prompt_tokens;
        known.in_flight += 1;
        known.unread_tokens += unread_tokens;
        if known.is_cold(now) {
            known.cold_pace.count(now);
        }
        for part in &job.terms.parts {
            known.note_part(model_hash, part.id, now);
        }
        let version = known.entry.version.clone();
        state.sessions.note(job.session, &version, now);
        if let Some(roll_out) = state.roll_outs.get_mut(&job.service) {
            roll_out.count(&version, now);
        }
        Some(Self {
            shared: shared.clone(),
            endpoint,
            name: known.entry.name.clone(),
            address: known.entry.address,
            version,
            model_hash,
            unread_tokens,
            taken_mono_ms: now.mono_ms,
            read_mono_ms: now.mono_ms,
        })
    }

    /// Takes in that the endpoint has read the prompt.
    pub(super) fn end_reading(&mut self) {
        let unread_tokens = std::mem::take(&mut self.unread_tokens);
        if let Some(known) = self.shared.state().fleet.get_mut(self.endpoint) {
            known.unread_tokens = known.unread_tokens.saturating_sub(unread_tokens);
        }
        self.read_mono_ms = self.shared.now().mono_ms;
    }

    /// Takes in what a try showed of the endpoint, and of its version up to the
    /// answer or its first event.
    pub(super) fn note(&self, sign: Sign, job: &Job<D, C>) {
        self.note_health(sign);
        if sign == Sign::Unreachable {
            return;
        }
        let now = self.shared.now();
        let seen = Observation {
            kind_hash: mix(hash_bytes(&job.route.name), self.model_hash),
            work: job.work(),
            of_target: false,
            failed: sign == Sign::Bad,
            took_ms: now.mono_ms.saturating_sub(self.taken_mono_ms),
            in_time_ms: job.route.objective_ms / IN_TIME_DIVISOR,
        };
        self.note_version(seen, job, now);
    }

    /// Takes in how long a stream of this many events took after its first one.
    pub(super) fn note_events(&self, events: u64, job: &Job<D, C>) {
        self.note_health(Sign::Good);
        if events < COMPARED_EVENTS {
            return;
        }
        let now = self.shared.now();
        let seen = Observation {
            kind_hash: mix(hash_bytes(&job.route.name), !self.model_hash),
            work: events,
            of_target: false,
            failed: false,
            took_ms: now.mono_ms.saturating_sub(self.read_mono_ms),
            in_time_ms: EVENTS_IN_TIME_MS,
        };
        self.note_version(seen, job, now);
    }

    fn note_health(&self, sign: Sign) {
        let now = self.shared.now();
        let mut state = self.shared.state();
        if let Some(known) = state.fleet.get_mut(self.endpoint)
            && known.health.note(sign, now)
        {
            let name = &self.name;
            let failing_ratio = known.health.failing_ratio();
            tracing::warn!(event = "HH1221", %name, failing_ratio, ?sign, "endpoint left alone");
        }
    }

    fn note_version(&self, seen: Observation, job: &Job<D, C>, now: Now) {
        let mut state = self.shared.state();
        let state = &mut *state;
        let roll_out = state.roll_outs.get_mut(&job.service);
        let Some(roll_out) = roll_out.filter(|roll_out| !roll_out.stage().is_final()) else {
            let usual = state.usual.entry(job.service.clone()).or_default();
            return usual.note(seen, now);
        };
        let of_target = roll_out.order().target == self.version;
        roll_out
            .evidence()
            .note(Observation { of_target, ..seen }, now);
    }

    /// Returns how long the place has been held, in milliseconds.
    pub(super) fn held_ms(&self) -> u64 {
        let now = self.shared.now();
        now.mono_ms.saturating_sub(self.taken_mono_ms)
    }
}

impl<D: Dialect, C: Clock> Drop for Place<D, C> {
    fn drop(&mut self) {
        self.end_reading();
        if let Some(known) = self.shared.state().fleet.get_mut(self.endpoint) {
            known.in_flight = known.in_flight.saturating_sub(1);
        }
    }
}

/// Chooses an endpoint of the version that a roll-out wants, or of the others if
/// that one has none.
fn choose_version<D: Dialect, C: Clock>(
    state: &State,
    job: &Job<D, C>,
    choose: impl Fn(Wanted<'_>) -> Option<EndpointKey>,
    now: Now,
) -> Option<EndpointKey> {
    let Some(roll_out) = state.roll_outs.get(&job.service) else {
        return choose(Wanted::Any);
    };
    let served_by = state.sessions.version(job.session, now);
    let wanted = roll_out.wanted(job.session, served_by, now);
    choose(wanted).or_else(|| fall_back(roll_out, wanted).and_then(&choose))
}

/// Returns the versions that stand in for those wanted. A new version never stands
/// in for the others while it is on trial, nor after it was taken back.
fn fall_back<'a>(roll_out: &RollOut, wanted: Wanted<'a>) -> Option<Wanted<'a>> {
    match (roll_out.stage(), wanted) {
        (Stage::Completed | Stage::RolledBack, _) | (Stage::Trial, Wanted::Not(_)) => None,
        (_, Wanted::Only(version)) => Some(Wanted::Not(version)),
        (_, Wanted::Not(version)) => Some(Wanted::Only(version)),
        (_, Wanted::Any) => None,
    }
}
