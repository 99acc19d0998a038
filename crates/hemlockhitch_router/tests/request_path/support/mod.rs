//! Fake dependencies of a router, sample configuration and requests.

mod engine;
mod ledger;
mod service;

use std::sync::Arc;

use hemlockhitch_config::configuration::{
    Allowance, Cascade, DataCentre, Endpoint, OrderCheck, Organisation, RollOut, RollOutState,
    ServiceCall, Share, Version,
};
use hemlockhitch_config::{Change, Configuration, RoutingTable, Row, RowEdit};
use hemlockhitch_endpoint::engine::{ChatMessage, ChatRequest};
use hemlockhitch_model::{ChangeId, Class, ManualClock, Now};
use hemlockhitch_peer::slots::LocalSlots;
use hemlockhitch_policy::guard::GuardSettings;
use hemlockhitch_router::{
    Backend, CallerHeaders, ChatCall, LocalCrashTracker, NotServingReason, Refusal, RollOuts,
    Router, RouterParts, RouterSettings, RoutingViewPublisher, ServiceCallRequest, ServingCheck,
    SessionKey, StoppedVersion,
};
use tokio::sync::mpsc;

pub use engine::{EngineScript, FakeEngine};
pub use ledger::FakeLedger;
pub use service::{FakeService, ServiceScript};

#[derive(Clone)]
pub struct FakeBackend;

impl Backend for FakeBackend {
    type Clock = ManualClock;
    type Engine = FakeEngine;
    type Service = FakeService;
    type Ledger = FakeLedger;
    type Slots = LocalSlots;
    type CrashTracker = LocalCrashTracker;
    type ServingCheck = FakeServingCheck;
}

/// Maximum number of requests in flight, which includes bills that are not recorded
/// yet.
pub const MAX_IN_FLIGHT: usize = 64;

/// A serving check that fails once a test stops it.
#[derive(Clone, Default)]
pub struct FakeServingCheck {
    stopped: Shared<bool>,
}

impl FakeServingCheck {
    /// Makes the node refuse new requests.
    pub fn stop_serving(&self) {
        *lock(&self.stopped) = true;
    }
}

impl ServingCheck for FakeServingCheck {
    fn check(&self, _now: Now) -> Result<(), NotServingReason> {
        if *lock(&self.stopped) {
            return Err(NotServingReason::Isolated);
        }
        Ok(())
    }
}

/// A router with fake dependencies, which tests can control.
pub struct Harness {
    pub router: Router<FakeBackend>,
    pub serving_check: FakeServingCheck,
    pub clock: ManualClock,
    pub engine: FakeEngine,
    pub service: FakeService,
    pub ledger: FakeLedger,
    pub configuration: Configuration,
    pub stopped: mpsc::UnboundedReceiver<StoppedVersion>,
    pub roll_outs: RollOuts,
    view_publisher: RoutingViewPublisher,
}

impl Harness {
    pub fn new() -> Self {
        let clock = ManualClock::new();
        let serving_check = FakeServingCheck::default();
        let engine = FakeEngine::default();
        let service = FakeService::default();
        let ledger = FakeLedger::default();
        let view_publisher = RoutingViewPublisher::new("dc-a");
        let (stop_sender, stopped) = mpsc::unbounded_channel();
        let roll_outs = RollOuts::new(GuardSettings::new(), stop_sender);
        let router = Router::new(RouterParts {
            clock: clock.clone(),
            engine: engine.clone(),
            service: service.clone(),
            ledger: ledger.clone(),
            slots: LocalSlots::new(),
            crash_tracker: LocalCrashTracker::new(),
            serving_check: serving_check.clone(),
            views: view_publisher.subscribe(),
            session_key: SessionKey::new("secret"),
            roll_outs: roll_outs.clone(),
            settings: RouterSettings::new().max_in_flight(MAX_IN_FLIGHT),
        });
        let mut harness = Self {
            router,
            serving_check,
            clock,
            engine,
            service,
            ledger,
            configuration: Configuration::default(),
            stopped,
            roll_outs,
            view_publisher,
        };
        harness.apply(sample_rows());
        harness
    }

    /// Applies rows to the configuration and publishes the new generation.
    pub fn apply(&mut self, rows: Vec<Row>) {
        let edits = rows
            .into_iter()
            .map(|row| RowEdit {
                key: row.key(),
                row: Some(row),
            })
            .collect();
        self.configuration.apply(&Change {
            id: ChangeId::from_u128(1),
            base_generation: self.configuration.generation,
            author: "test".to_owned(),
            at_unix_ms: 0,
            edits,
        });
        self.roll_outs.apply_configuration(&self.configuration);
        self.view_publisher
            .publish(RoutingTable::compile(&self.configuration));
    }

    /// Runs a completion to its end and concatenates the text of its chunks.
    pub async fn chat(&self, call: ChatCall) -> Result<CompletedAnswer, Refusal> {
        let mut answer = self.router.chat(call).await?;
        let mut text = String::new();
        while let Some(chunk) = answer.relay.next().await? {
            text.push_str(&chunk.text);
        }
        Ok(CompletedAnswer {
            text,
            session: answer.session,
            version: answer.version.to_string(),
        })
    }
}

/// A completed answer.
#[derive(Debug)]
pub struct CompletedAnswer {
    pub text: String,
    pub session: String,
    pub version: String,
}

/// A completion on `model`, sent by organisation acme.
pub fn chat_call(model: &str, prompt: &str) -> ChatCall {
    ChatCall {
        headers: headers(),
        body: ChatRequest {
            model: model.to_owned(),
            messages: vec![ChatMessage {
                role: "user".to_owned(),
                content: prompt.to_owned(),
            }],
            stream: true,
            max_tokens: None,
            temperature: None,
        },
    }
}

/// A non-idempotent call `POST /holds`, sent by organisation acme.
pub fn hold_call(key: Option<&str>, body: &'static str) -> ServiceCallRequest {
    ServiceCallRequest {
        headers: CallerHeaders {
            idempotency_key: key.map(str::to_owned),
            ..headers()
        },
        service: "pull".to_owned(),
        method: "POST".to_owned(),
        path: "/holds".to_owned(),
        content_type: None,
        body: body.into(),
    }
}

/// An idempotent call `GET /subscribers/7`, sent by organisation acme.
pub fn lookup_call() -> ServiceCallRequest {
    ServiceCallRequest {
        method: "GET".to_owned(),
        path: "/subscribers/7".to_owned(),
        ..hold_call(None, "")
    }
}

pub fn headers() -> CallerHeaders {
    CallerHeaders {
        authorization: Some("Bearer token-acme".to_owned()),
        ..CallerHeaders::default()
    }
}

pub fn version(name: &str, withdrawn: bool) -> Row {
    Row::Version(Version {
        name: name.into(),
        withdrawn,
        prompt_price_micros: 1_000_000,
        completion_price_micros: 2_000_000,
    })
}

pub fn allowance(version: &str, percent: f64) -> Row {
    Row::Allowance(Allowance {
        organisation: "acme".into(),
        version: version.into(),
        share: Share { percent },
    })
}

pub fn data_centre(name: &str, out: bool) -> Row {
    Row::DataCentre(DataCentre {
        name: name.into(),
        region: "north".into(),
        out,
    })
}

/// An organisation without allowances.
pub fn named_organisation(name: &str) -> Row {
    Row::Organisation(Organisation {
        name: name.into(),
        token_sha256: name.to_owned(),
        weight: 1,
        limit_per_s: 1,
    })
}

/// A roll-out that replaces small@1 by small@2.
pub fn roll_out(percent: f64, state: RollOutState) -> Row {
    Row::RollOut(RollOut {
        from: "small@1".into(),
        to: "small@2".into(),
        share: Share { percent },
        state,
    })
}

fn sample_rows() -> Vec<Row> {
    let mut rows = vec![
        organisation(1_000),
        version("small@1", false),
        version("small@2", false),
        version("large@1", false),
        allowance("small@1", 100.0),
        allowance("small@2", 0.0),
        data_centre("dc-a", false),
        data_centre("dc-b", false),
        call("GET", "/subscribers/*", true),
        call("POST", "/holds", false),
        cascade(),
    ];
    for (name, data_centre_name) in [
        ("e-1", "dc-a"),
        ("e-2", "dc-a"),
        ("e-3", "dc-b"),
        ("e-4", "dc-b"),
    ] {
        rows.push(endpoint(
            name,
            data_centre_name,
            "models",
            &["small@1", "small@2", "large@1"],
        ));
    }
    rows.push(endpoint("p-1", "dc-a", "pull", &[]));
    rows.push(endpoint("p-2", "dc-b", "pull", &[]));
    rows
}

/// Organisation acme with a limit of requests per second.
pub fn organisation(limit_per_s: u32) -> Row {
    Row::Organisation(Organisation {
        name: "acme".into(),
        token_sha256: token_sha256(),
        weight: 1,
        limit_per_s,
    })
}

fn token_sha256() -> String {
    use sha2::{Digest, Sha256};
    use std::fmt::Write;
    let digest = Sha256::digest(b"token-acme");
    digest.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

fn cascade() -> Row {
    Row::Cascade(Cascade {
        organisation: "acme".into(),
        class: Class::Chat,
        models: vec!["small".into()],
        quality_target_ratio: 0.8,
    })
}

fn call(method: &str, path: &str, idempotent: bool) -> Row {
    Row::ServiceCall(ServiceCall {
        service: "pull".into(),
        method: method.to_owned(),
        path: path.to_owned(),
        idempotent,
        class: Class::Lookup,
    })
}

pub fn endpoint(name: &str, data_centre_name: &str, service: &str, versions: &[&str]) -> Row {
    Row::Endpoint(Endpoint {
        name: name.into(),
        address: name.to_owned(),
        data_centre: data_centre_name.into(),
        service: service.into(),
        versions: versions.iter().map(|name| (*name).into()).collect(),
        cold_limit: 1,
        warm_limit: 4,
        orders: OrderCheck::Checked,
        out: false,
    })
}

/// Joins the addresses of called endpoints with spaces.
pub fn join_names(addresses: &[String]) -> String {
    addresses.join(" ")
}

/// State that clones of a fake share.
pub type Shared<T> = Arc<std::sync::Mutex<T>>;

/// Locks shared state.
pub fn lock<T>(shared: &Shared<T>) -> std::sync::MutexGuard<'_, T> {
    shared
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}
