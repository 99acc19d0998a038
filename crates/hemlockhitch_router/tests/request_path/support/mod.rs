//! Fakes of the parts that a router is built on.

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
    Backend, CallerHeaders, ChatCall, Closed, Gate, LocalSuspects, Refusal, RollOuts, Router,
    RouterParts, RouterSettings, ServiceCallRequest, SessionKey, StoppedVersion, ViewFeed,
};
use tokio::sync::mpsc;

pub use engine::{EngineScript, FakeEngine};
pub use ledger::FakeLedger;
pub use service::{FakeService, ServiceScript};

#[derive(Clone)]
pub struct Fakes;

impl Backend for Fakes {
    type Clock = ManualClock;
    type Engine = FakeEngine;
    type Service = FakeService;
    type Ledger = FakeLedger;
    type Slots = LocalSlots;
    type Suspects = LocalSuspects;
    type Gate = FakeGate;
}

/// The most requests and unwritten bills in hand.
pub const IN_FLIGHT: usize = 64;

/// A gate that a test closes.
#[derive(Clone, Default)]
pub struct FakeGate {
    closed: Shared<bool>,
}

impl FakeGate {
    /// Closes the gate.
    pub fn close(&self) {
        *lock(&self.closed) = true;
    }
}

impl Gate for FakeGate {
    fn check(&self, _now: Now) -> Result<(), Closed> {
        if *lock(&self.closed) {
            return Err(Closed::CutOff);
        }
        Ok(())
    }
}

/// A router on fakes.
pub struct Bench {
    pub router: Router<Fakes>,
    pub gate: FakeGate,
    pub clock: ManualClock,

    pub engine: FakeEngine,
    pub service: FakeService,
    pub ledger: FakeLedger,
    pub configuration: Configuration,
    pub stopped: mpsc::UnboundedReceiver<StoppedVersion>,
    pub roll_outs: RollOuts,
    feed: ViewFeed,
}

impl Bench {
    pub fn new() -> Self {
        let clock = ManualClock::new();
        let gate = FakeGate::default();
        let engine = FakeEngine::default();
        let service = FakeService::default();
        let ledger = FakeLedger::default();
        let feed = ViewFeed::new("dc-a");
        let (stops, stopped) = mpsc::unbounded_channel();
        let roll_outs = RollOuts::new(GuardSettings::new(), stops);
        let router = Router::new(RouterParts {
            clock: clock.clone(),
            engine: engine.clone(),
            service: service.clone(),
            ledger: ledger.clone(),
            slots: LocalSlots::new(),
            suspects: LocalSuspects::new(),
            gate: gate.clone(),
            views: feed.subscribe(),
            session_key: SessionKey::new("secret"),
            roll_outs: roll_outs.clone(),
            settings: RouterSettings::new().in_flight(IN_FLIGHT),
        });
        let mut bench = Self {
            router,
            gate,
            clock,

            engine,
            service,
            ledger,
            configuration: Configuration::default(),
            stopped,
            roll_outs,
            feed,
        };
        bench.apply(sample_rows());
        bench
    }

    /// Puts rows in force as the next generation.
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
        self.roll_outs.follow(&self.configuration);
        self.feed
            .publish(RoutingTable::compile(&self.configuration));
    }

    /// Runs a completion and gathers its text.
    pub async fn chat(&self, call: ChatCall) -> Result<Whole, Refusal> {
        let mut answer = self.router.chat(call).await?;
        let mut text = String::new();
        while let Some(chunk) = answer.relay.next().await? {
            text.push_str(&chunk.text);
        }
        Ok(Whole {
            text,
            session: answer.session,
            version: answer.version.to_string(),
        })
    }
}

/// A whole answer.
#[derive(Debug)]
pub struct Whole {
    pub text: String,
    pub session: String,
    pub version: String,
}

/// A completion on `model` by organisation acme.
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

/// A hold by organisation acme.
pub fn hold(key: Option<&str>, body: &'static str) -> ServiceCallRequest {
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

/// A look-up by organisation acme.
pub fn lookup() -> ServiceCallRequest {
    ServiceCallRequest {
        method: "GET".to_owned(),
        path: "/subscribers/7".to_owned(),
        ..hold(None, "")
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

/// Another organisation, which may use nothing.
pub fn named_organisation(name: &str) -> Row {
    Row::Organisation(Organisation {
        name: name.into(),
        token_sha256: name.to_owned(),
        weight: 1,
        limit_per_s: 1,
    })
}

/// The roll-out of small@2 in place of small@1.
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
    for (name, place) in [
        ("e-1", "dc-a"),
        ("e-2", "dc-a"),
        ("e-3", "dc-b"),
        ("e-4", "dc-b"),
    ] {
        rows.push(endpoint(
            name,
            place,
            "models",
            &["small@1", "small@2", "large@1"],
        ));
    }
    rows.push(endpoint("p-1", "dc-a", "pull", &[]));
    rows.push(endpoint("p-2", "dc-b", "pull", &[]));
    rows
}

/// Organisation acme with a limit of requests a second.
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

pub fn endpoint(name: &str, place: &str, service: &str, versions: &[&str]) -> Row {
    Row::Endpoint(Endpoint {
        name: name.into(),
        address: name.to_owned(),
        data_centre: place.into(),
        service: service.into(),
        versions: versions.iter().map(|name| (*name).into()).collect(),
        cold_limit: 1,
        warm_limit: 4,
        orders: OrderCheck::Checked,
        out: false,
    })
}

/// Names of the endpoints that a list of calls went to, in order.
pub fn names(list: &[String]) -> String {
    list.join(" ")
}

/// Keeps a shared list.
pub type Shared<T> = Arc<std::sync::Mutex<T>>;

/// Locks a shared list.
pub fn lock<T>(shared: &Shared<T>) -> std::sync::MutexGuard<'_, T> {
    shared
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}
