//! The estimated cost of sending a request to an endpoint, in prompt tokens of the
//! smallest model.
//!
//! It is made for a load of prompts for several models, where the prefill of one long
//! prompt for a large model blocks an endpoint for longer than dozens of short ones, and
//! for endpoints whose machines are slow for a while: work, that of the request itself and
//! what is ahead of it, counts by the time that it currently takes there.

use hemlockhitch_model::{EndpointKey, Key, Now};

use super::{Choice, Prompt, SelectionRequest};
use crate::fleet::Endpoint;
use hemlockhitch_model::mix;

/// Factor on the prefill time of a prompt from one model size of a route to the next.
const SIZE_COST_FACTOR: u64 = 3;

/// Model size from which the factor no longer grows.
const MAX_WEIGHTED_SIZE: usize = 3;

/// Cost of each running request, as the number of prompt tokens that take as long to
/// prefill.
const RUNNING_COST_TOKENS: f64 = 400.0;

/// Cost of each queued request, which is prefilled before the new one.
const WAITING_COST_TOKENS: f64 = 3_000.0;

/// Cost of an endpoint whose slots are all in use.
const FULL_COST_TOKENS: f64 = 100_000.0;

/// Cost of each byte that is sent to an endpoint in another data centre, because traffic
/// between data centres is charged by volume.
const REMOTE_COST_TOKENS_PER_BYTE: f64 = 1.0;

/// Cost of an endpoint in another data centre in addition, for the response.
const REMOTE_COST_TOKENS: f64 = 500.0;

/// Cost of an endpoint at a failure ratio of 1.
const FAILURE_COST_TOKENS: f64 = 20_000.0;

/// Cost of an endpoint that asked other nodes for a pause: any other is better, but it
/// is used if there is none.
const PAUSED_FOR_PEERS_COST_TOKENS: f64 = 50_000.0;

/// Upper bound of the random cost that is added, so that nodes with the same reports do
/// not all choose the same endpoint.
const MAX_JITTER_TOKENS: u64 = 300;

/// Fraction of the shared parts that is probably cached at the endpoint to which all
/// nodes map the prompt.
const AFFINITY_CACHED_RATIO: f64 = 0.8;

/// Cost of a fully used endpoint for a request without a prompt.
const NO_PROMPT_FULL_COST_TOKENS: f64 = 10_000.0;

/// Cost of an endpoint in another data centre for a request without a prompt: the cost
/// of a third of the slots in use, so that requests go elsewhere before they queue
/// locally.
const NO_PROMPT_REMOTE_COST_TOKENS: f64 = 3_300.0;

/// Work of a request without a prompt itself. It is the cost of a fully used endpoint: a
/// request that runs twice as long ends later than one that waits for a slot elsewhere,
/// where one of several requests ends soon.
const NO_PROMPT_OWN_COST_TOKENS: f64 = 10_000.0;

/// Returns the candidate with the lowest cost.
pub(super) fn lowest_cost<'a>(
    candidates: impl Iterator<Item = (EndpointKey, &'a Endpoint)>,
    request: &SelectionRequest<'_>,
    now: Now,
) -> Option<Choice> {
    let candidates: Vec<_> = candidates.collect();
    let affinity_key = request
        .prompt
        .and_then(|prompt| affinity_endpoint(&candidates, &prompt));
    let has_affinity = |key: EndpointKey| affinity_key == Some(key);
    let (_, key, endpoint) = candidates
        .iter()
        .map(|(key, endpoint)| {
            let cost = cost_tokens(*key, endpoint, has_affinity(*key), request, now);
            (cost, *key, endpoint)
        })
        .min_by(|a, b| a.0.total_cmp(&b.0))?;
    let prefill_cost = request.prompt.map_or(0.0, |prompt| {
        prefill_cost_tokens(endpoint, has_affinity(key), &prompt, now)
    });
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let prefill_cost_tokens = prefill_cost as u64;
    Some(Choice {
        endpoint: key,
        prefill_cost_tokens,
    })
}

fn cost_tokens(
    key: EndpointKey,
    endpoint: &Endpoint,
    has_affinity: bool,
    request: &SelectionRequest<'_>,
    now: Now,
) -> f64 {
    let is_remote = endpoint.entry.data_centre != *request.local_data_centre;
    let jitter = as_f64(mix(request.tie_breaker, key.index() as u64) % MAX_JITTER_TOKENS);
    let failure_cost = endpoint.circuit_breaker.failure_ratio() * FAILURE_COST_TOKENS;
    let used_ratio = endpoint.used_ratio(now);
    let full_cost = if used_ratio >= 1.0 {
        FULL_COST_TOKENS
    } else {
        0.0
    };
    let paused_cost = if endpoint.is_paused_for_peers(now) {
        PAUSED_FOR_PEERS_COST_TOKENS
    } else {
        0.0
    };
    let base_cost = jitter + failure_cost + full_cost + paused_cost;
    let Some(prompt) = request.prompt else {
        let remote_cost = if is_remote {
            NO_PROMPT_REMOTE_COST_TOKENS
        } else {
            0.0
        };
        let used_cost = used_ratio * NO_PROMPT_FULL_COST_TOKENS;
        let slow_cost = (NO_PROMPT_OWN_COST_TOKENS + used_cost) * endpoint.slowdown_ratio(now);
        return base_cost + used_cost + remote_cost + slow_cost;
    };
    let remote_cost = if is_remote {
        REMOTE_COST_TOKENS + REMOTE_COST_TOKENS_PER_BYTE * as_f64(request.body_bytes)
    } else {
        0.0
    };
    let prefill_cost = prefill_cost_tokens(endpoint, has_affinity, &prompt, now);
    let pending_cost = endpoint.total_pending_prefill_tokens(now);
    let running_cost = endpoint.requests(now) * RUNNING_COST_TOKENS;
    let waiting_cost = endpoint.waiting(now) * WAITING_COST_TOKENS;
    // The request itself runs there, too.
    let work = prefill_cost + pending_cost + running_cost + waiting_cost + RUNNING_COST_TOKENS;
    let slow_cost = work * endpoint.slowdown_ratio(now);
    base_cost + remote_cost + prefill_cost + pending_cost + running_cost + waiting_cost + slow_cost
}

/// Returns the cost of the prefill of the parts that the endpoint has not cached.
fn prefill_cost_tokens(
    endpoint: &Endpoint,
    has_affinity: bool,
    prompt: &Prompt<'_>,
    now: Now,
) -> f64 {
    let uncached = as_f64(prompt.tokens) - cached_tokens(endpoint, has_affinity, prompt, now);
    let weighted_size = prompt.model_size.min(MAX_WEIGHTED_SIZE);
    let factor = (0..weighted_size).fold(1, |factor, _| factor * SIZE_COST_FACTOR);
    uncached.max(0.0) * as_f64(factor)
}

/// Estimates how many tokens of a prompt the endpoint has in its cache.
fn cached_tokens(endpoint: &Endpoint, has_affinity: bool, prompt: &Prompt<'_>, now: Now) -> f64 {
    let recent_parts = prompt.parts.iter().take_while(|part| {
        endpoint.has_recent_part(prompt.model_hash, part.id, prompt.cache_ttl_ms, now)
    });
    let recent_tokens: u64 = recent_parts.map(|part| part.tokens).sum();
    let affinity_tokens = if has_affinity {
        let shared = prompt
            .parts
            .split_last()
            .map_or(&[][..], |(_, shared)| shared);
        let shared_tokens: u64 = shared.iter().map(|part| part.tokens).sum();
        as_f64(shared_tokens) * AFFINITY_CACHED_RATIO
    } else {
        0.0
    };
    as_f64(recent_tokens).max(affinity_tokens)
}

/// Returns the endpoint to which every node maps a shared prompt. Rendezvous hashing
/// remaps few prompts when endpoints are added or removed.
fn affinity_endpoint(
    candidates: &[(EndpointKey, &Endpoint)],
    prompt: &Prompt<'_>,
) -> Option<EndpointKey> {
    let (_, shared) = prompt.parts.split_last()?;
    let prompt_hash = mix(shared.last()?.id, prompt.model_hash);
    let score = |endpoint: &Endpoint| mix(endpoint.name_hash, prompt_hash);
    let (key, _) = candidates
        .iter()
        .max_by_key(|(_, endpoint)| score(endpoint))?;
    Some(*key)
}

#[allow(clippy::cast_precision_loss)]
fn as_f64(count: u64) -> f64 {
    count as f64
}
