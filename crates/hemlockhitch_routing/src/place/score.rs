//! Compares endpoints by the work ahead of a request, in prompt tokens.

use hemlockhitch_model::{EndpointKey, Key, Now};

use super::{Demand, Prompt};
use crate::fleet::Endpoint;
use hemlockhitch_model::mix;

/// What a running request costs the next one, as prompt tokens that take as long.
const RUNNING_TOKENS: f64 = 400.0;

/// What a waiting request costs the next one: it is read first.
const WAITING_TOKENS: f64 = 3_000.0;

/// What it costs when all slots are taken.
const FULL_TOKENS: f64 = 100_000.0;

/// What another data centre costs: the bytes between them have a price.
const AWAY_TOKENS: f64 = 4_000.0;

/// What an endpoint costs that failed each of its latest requests.
const FAILING_TOKENS: f64 = 20_000.0;

/// Up to what difference endpoints are equal, so that nodes with the same reports
/// do not all choose the same one.
const NOISE_TOKENS: u64 = 300;

/// The part of a shared prompt that is probably cached where the prompt maps to.
const MAPPED_RATIO: f64 = 0.8;

/// What taking all slots costs a request without a prompt.
const PLAIN_FULL_TOKENS: f64 = 10_000.0;

/// What another data centre costs a request without a prompt: as much as a third
/// of the slots, so that work leaves the data centre before it waits.
const PLAIN_AWAY_TOKENS: f64 = 3_300.0;

/// Returns the endpoint with the least work ahead.
pub(super) fn best<'a>(
    choices: impl Iterator<Item = (EndpointKey, &'a Endpoint)>,
    demand: &Demand<'_>,
    now: Now,
) -> Option<EndpointKey> {
    let choices: Vec<_> = choices.collect();
    let mapped = demand
        .prompt
        .and_then(|prompt| mapped_endpoint(&choices, &prompt));
    choices
        .iter()
        .map(|(key, endpoint)| {
            let is_mapped = mapped == Some(*key);
            (work_tokens(*key, endpoint, is_mapped, demand, now), *key)
        })
        .min_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, key)| key)
}

fn work_tokens(
    key: EndpointKey,
    endpoint: &Endpoint,
    is_mapped: bool,
    demand: &Demand<'_>,
    now: Now,
) -> f64 {
    let away = endpoint.entry.data_centre != *demand.home;
    let noise = as_f64(mix(demand.draw, key.index() as u64) % NOISE_TOKENS);
    let failing = endpoint.health.failing_ratio() * FAILING_TOKENS;
    let used_ratio = endpoint.used_ratio(now);
    let full = if used_ratio >= 1.0 { FULL_TOKENS } else { 0.0 };
    let common = noise + failing + full;
    let Some(prompt) = demand.prompt else {
        let away = if away { PLAIN_AWAY_TOKENS } else { 0.0 };
        return common + used_ratio * PLAIN_FULL_TOKENS + away;
    };
    let away = if away { AWAY_TOKENS } else { 0.0 };
    let unread = as_f64(prompt.tokens) - cached_tokens(endpoint, is_mapped, &prompt, now);
    common
        + away
        + unread.max(0.0)
        + endpoint.all_unread_tokens(now)
        + endpoint.requests(now) * RUNNING_TOKENS
        + endpoint.waiting(now) * WAITING_TOKENS
}

/// Estimates how much of a prompt an endpoint need not read again.
fn cached_tokens(endpoint: &Endpoint, is_mapped: bool, prompt: &Prompt<'_>, now: Now) -> f64 {
    let held = prompt
        .parts
        .iter()
        .take_while(|part| endpoint.holds_part(prompt.model_hash, part.id, prompt.kept_ms, now));
    let held_tokens: u64 = held.map(|part| part.tokens).sum();
    let mapped_tokens = if is_mapped {
        let shared = prompt
            .parts
            .split_last()
            .map_or(&[][..], |(_, shared)| shared);
        let shared_tokens: u64 = shared.iter().map(|part| part.tokens).sum();
        as_f64(shared_tokens) * MAPPED_RATIO
    } else {
        0.0
    };
    as_f64(held_tokens).max(mapped_tokens)
}

/// Returns the endpoint that a shared prompt maps to on every node: the one with
/// the highest hash, which changes for few prompts as endpoints come and go.
fn mapped_endpoint(
    choices: &[(EndpointKey, &Endpoint)],
    prompt: &Prompt<'_>,
) -> Option<EndpointKey> {
    let (_, shared) = prompt.parts.split_last()?;
    let subject = mix(shared.last()?.id, prompt.model_hash);
    let weight = |endpoint: &Endpoint| mix(endpoint.name_hash, subject);
    let (key, _) = choices
        .iter()
        .max_by_key(|(_, endpoint)| weight(endpoint))?;
    Some(*key)
}

#[allow(clippy::cast_precision_loss)]
fn as_f64(count: u64) -> f64 {
    count as f64
}
