//! Planning of a chat completion before its first dispatch: checks, version and
//! session.

use hemlockhitch_endpoint::engine::ChatRequest;
use hemlockhitch_model::{
    Class, ModelKey, Now, OrganisationName, RequestId, VersionKey, VersionName,
};
use hemlockhitch_policy::version::{VersionRefusal, check_version, choose_version};

use crate::backend::Backend;
use crate::caller::Caller;
use crate::crash_tracker::{CrashTracker, MAX_CRASHES_PER_REQUEST, RequestFingerprint};
use crate::refusal::{Refusal, RefusalKind};
use crate::roll_out::VersionRoute;
use crate::router::RouterParts;
use crate::session::Session;
use crate::view::RoutingView;

/// Model name that selects the first model of the organisation's cascade.
const AUTO_MODEL: &str = "auto";

/// Maximum total size of the message contents.
const MAX_PROMPT_BYTES: usize = 900_000;

/// The decisions for a chat completion.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) request_id: RequestId,
    pub(crate) organisation: OrganisationName,
    pub(crate) class: Class,
    pub(crate) version_name: VersionName,
    pub(crate) reason: &'static str,
    pub(crate) generation: u64,
    pub(crate) session: String,
    pub(crate) fingerprint: RequestFingerprint,
    pub(crate) body: ChatRequest,
}

/// Checks a chat completion and decides its class, version and session.
pub(crate) fn plan<B: Backend>(
    parts: &RouterParts<B>,
    view: &RoutingView,
    caller: &Caller,
    body: ChatRequest,
    now: Now,
) -> Result<Plan, Refusal> {
    check_body(&body)?;
    let fingerprint = RequestFingerprint::of(&body);
    check_crash_limit(parts, fingerprint, now)?;
    let class = caller.class.unwrap_or(Class::Chat);
    let organisation = view.table.organisations[caller.organisation]
        .row
        .name
        .clone();
    let existing_session = match &caller.session {
        Some(token) => Some(verify_session(parts, token, &organisation)?),
        None => None,
    };
    let choice = match &existing_session {
        Some(session) => version_of_session(view, caller, session)?,
        None => version_for_new_session(view, caller, &body, class)?,
    };
    let choice = match existing_session {
        Some(_) => choice,
        None => apply_roll_out_guard(parts, view, caller, choice)?,
    };
    let version_name = view.table.versions[choice.version].row.name.clone();
    let session = existing_session.unwrap_or_else(|| Session {
        organisation: organisation.clone(),
        version: version_name.clone(),
        opened_unix_ms: now.unix_ms,
    });
    Ok(Plan {
        request_id: caller.request_id,
        organisation,
        class,
        version_name,
        reason: choice.reason,
        generation: view.table.generation,
        session: parts.session_key.issue(&session),
        fingerprint,
        body,
    })
}

struct VersionChoice {
    version: VersionKey,
    reason: &'static str,
}

fn check_body(body: &ChatRequest) -> Result<(), Refusal> {
    let prompt_bytes: usize = body
        .messages
        .iter()
        .map(|message| message.content.len())
        .sum();
    if body.messages.is_empty() {
        return Err(Refusal::not_run(
            RefusalKind::BadRequest,
            "the request has no messages",
            "send at least one message",
        ));
    }
    if prompt_bytes > MAX_PROMPT_BYTES {
        return Err(Refusal::not_run(
            RefusalKind::TooLarge,
            format!("the messages have {prompt_bytes} bytes"),
            format!("send at most {MAX_PROMPT_BYTES} bytes"),
        ));
    }
    Ok(())
}

fn check_crash_limit<B: Backend>(
    parts: &RouterParts<B>,
    fingerprint: RequestFingerprint,
    now: Now,
) -> Result<(), Refusal> {
    if parts.crash_tracker.crash_count(fingerprint, now) < MAX_CRASHES_PER_REQUEST {
        return Ok(());
    }
    Err(Refusal::not_run(
        RefusalKind::CrashesEndpoints,
        "this request has crashed the endpoints that ran it",
        "change the request; it will not be run again",
    ))
}

fn verify_session<B: Backend>(
    parts: &RouterParts<B>,
    token: &str,
    organisation: &OrganisationName,
) -> Result<Session, Refusal> {
    let session = parts.session_key.verify(token).map_err(|error| {
        Refusal::not_run(
            RefusalKind::BadRequest,
            error.to_string(),
            "send the request without X-Hemlockhitch-Session",
        )
    })?;
    if session.organisation == *organisation {
        return Ok(session);
    }
    Err(Refusal::not_run(
        RefusalKind::NotAllowed,
        "the session belongs to another organisation",
        "send the request without X-Hemlockhitch-Session",
    ))
}

fn version_of_session(
    view: &RoutingView,
    caller: &Caller,
    session: &Session,
) -> Result<VersionChoice, Refusal> {
    let version = view
        .table
        .version(session.version.as_str())
        .ok_or_else(|| version_refusal(VersionRefusal::Withdrawn))?;
    check_version(&view.table, caller.organisation, version).map_err(version_refusal)?;
    Ok(VersionChoice {
        version,
        reason: "the session's version",
    })
}

fn version_for_new_session(
    view: &RoutingView,
    caller: &Caller,
    body: &ChatRequest,
    class: Class,
) -> Result<VersionChoice, Refusal> {
    if let Some(version) = view.table.version(&body.model) {
        check_version(&view.table, caller.organisation, version).map_err(version_refusal)?;
        return Ok(VersionChoice {
            version,
            reason: "named by the caller",
        });
    }
    let model = find_model(view, caller, &body.model, class)?;
    let session_hash = request_hash(caller.request_id);
    let version = choose_version(&view.table, caller.organisation, model, session_hash)
        .map_err(version_refusal)?;
    Ok(VersionChoice {
        version,
        reason: "share of new sessions",
    })
}

/// Replaces a version by its baseline when the roll-out was stopped or already has
/// enough outstanding requests.
fn apply_roll_out_guard<B: Backend>(
    parts: &RouterParts<B>,
    view: &RoutingView,
    caller: &Caller,
    choice: VersionChoice,
) -> Result<VersionChoice, Refusal> {
    let chosen = &view.table.versions[choice.version].row.name;
    let usable_baseline = |baseline: VersionName| {
        let version = view.table.version(baseline.as_str())?;
        let checked = check_version(&view.table, caller.organisation, version);
        checked.is_ok().then_some(VersionChoice {
            version,
            reason: "the roll-out's guard keeps the former version",
        })
    };
    match parts.roll_outs.route_new_session(chosen) {
        VersionRoute::Chosen => Ok(choice),
        VersionRoute::PreferBaseline { baseline } => {
            Ok(usable_baseline(baseline).unwrap_or(choice))
        }
        VersionRoute::RequireBaseline { baseline } => usable_baseline(baseline).ok_or_else(|| {
            Refusal::not_run(
                RefusalKind::Withdrawn,
                format!("the roll-out of {chosen} is stopped and no former version can serve"),
                "ask for another model, or ask your operator to resume the roll-out",
            )
        }),
    }
}

fn find_model(
    view: &RoutingView,
    caller: &Caller,
    name: &str,
    class: Class,
) -> Result<ModelKey, Refusal> {
    if name == AUTO_MODEL {
        return first_cascade_model(view, caller, class);
    }
    view.table.model(name).ok_or_else(|| {
        Refusal::not_run(
            RefusalKind::NotFound,
            format!("model {name:?} does not exist"),
            "ask GET /v1/models for the models that you may use",
        )
    })
}

fn first_cascade_model(
    view: &RoutingView,
    caller: &Caller,
    class: Class,
) -> Result<ModelKey, Refusal> {
    view.table.organisations[caller.organisation]
        .cascades
        .get(&class)
        .and_then(|cascade| cascade.models.first())
        .copied()
        .ok_or_else(|| {
            Refusal::not_run(
                RefusalKind::NotAllowed,
                format!("no cascade is set up for class {class}"),
                "name a model, or ask your operator for a cascade",
            )
        })
}

fn version_refusal(refusal: VersionRefusal) -> Refusal {
    match refusal {
        VersionRefusal::NotAllowed => Refusal::not_run(
            RefusalKind::NotAllowed,
            "your organisation may not use this model or version",
            "ask GET /v1/models for the models that you may use",
        ),
        VersionRefusal::Withdrawn => Refusal::not_run(
            RefusalKind::Withdrawn,
            "the version was withdrawn",
            "open a new session: send the request without X-Hemlockhitch-Session",
        ),
    }
}

#[allow(clippy::cast_possible_truncation)]
fn request_hash(request_id: RequestId) -> u64 {
    request_id.as_u128() as u64
}
