//! The cases.

use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::client::Request;
use crate::engine::{Arrival, Behaviour, Engine};
use crate::node::{wait_until_ready, Node};
use crate::record::Record;
use crate::store::Store;

/// Key of a caller that stays, and of one that is taken away in a case.
const KEY: &str = "n2ctnfzs989anu6wsjnb";
const TAKEN_KEY: &str = "anfqasnmgkcuyj8pjbvk";

/// Bounds of the sheet.
const CONTACT_MS: u128 = 3_000;
const REVOKE_MS: u128 = 5_000;

/// Length of a cut of one machine from the store in the site file.
const CUT_MS: u128 = 5_500;

/// Paths of the routes of the configuration.
const DIGEST: &str = "/digest/2f";
const HOLD: &str = "/hold/2f";
const PAGE: &str = "/page/2f";
const DEADLY_HOLD: &str = "/hold/deadly";
const DEADLY_DIGEST: &str = "/digest/deadly";

/// How a case ended.
pub enum Verdict {
    Held(String),
    Broken(String),
}

/// What a case is played with.
pub struct Case {
    pub record: Record,
    pub has_trouble: bool,
    pub temporary: PathBuf,
}

/// A deployment in one process, except for its gateways.
struct Deployment {
    store: Store,
    nodes: Vec<Node>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl Deployment {
    fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().expect("lock").clone()
    }
}

fn configuration(version: u32, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let keys = keys.join(",");
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"r-digest","host":"ficu95.example","prefix":"/digest/","routeKind":"streaming","timeoutMs":8000,"sloMs":2000,"priority":1,"sizes":["m0","m1","m2"],"service":"models","maxAttempts":3,"public":false,"sticky":true,"resumable":true,"itlTargetMs":800}},
{{"name":"r-hold","host":"ficu95.example","prefix":"/hold/","routeKind":"non_idempotent","timeoutMs":1200,"sloMs":150,"priority":2,"service":"app","maxAttempts":1,"public":false}},
{{"name":"r-page","host":"ficu95.example","prefix":"/page/","routeKind":"idempotent","timeoutMs":1200,"sloMs":150,"priority":2,"service":"app","maxAttempts":2,"public":true}}],
"services":[{{"name":"models","healthPath":"/healthz","maxConns":620,"protocol":"h1","tls":false,"coldS":0.0,"coldPerS":0.0}},
{{"name":"app","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false,"coldS":0.0,"coldPerS":0.0}}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},
"tenants":[{{"name":"hule930","apiKeys":[{keys}],"priority":1}}]}}"#
    )
}

fn hold(id: String, path: &str) -> Request {
    Request {
        id,
        path: path.to_owned(),
        key: KEY.to_owned(),
        deadline_ms: 2_500,
        body: br#"{"hold":"variant 12"}"#.to_vec(),
        has_prompt: false,
        upload_ms: 0,
    }
}

fn digest(id: &str, key: &str, body_bytes: usize, upload_ms: u64) -> Request {
    Request {
        id: id.to_owned(),
        path: DIGEST.to_owned(),
        key: key.to_owned(),
        deadline_ms: 8_000,
        body: vec![b'x'; body_bytes],
        has_prompt: true,
        upload_ms,
    }
}

impl Case {
    pub fn play(&self, name: &str) -> Result<Verdict, String> {
        match name {
            "deadly" => self.deadly(false),
            "deadly-stream" => self.deadly(true),
            "revoke" => self.revoke(),
            "public" => self.public(),
            _ => Err(format!("there is no case {name}")),
        }
    }

    /// Starts gateways with a configuration and waits until they are ready.
    fn deploy(&self, node_count: usize) -> Result<Deployment, String> {
        let store = Store::default();
        store.put("op/config", &configuration(1, &[KEY, TAKEN_KEY]));
        let mut nodes = Vec::new();
        for index in 0..node_count {
            let zone = ["em-a", "em-b", "em-c"][index % 3];
            let name = format!("edge-{zone}-{}", index / 3 + 1);
            let (address, access) = store.open();
            nodes.push(Node::start(&name, zone, address, access, &self.temporary)?);
        }
        wait_until_ready(&nodes)?;
        self.record.add(format!("{node_count} gateways are ready"));
        Ok(Deployment {
            store,
            nodes,
            arrivals: Arc::default(),
        })
    }

    fn start_engine(&self, deployment: &Deployment, name: &str, behaviour: &Behaviour) -> Engine {
        let Deployment {
            store, arrivals, ..
        } = deployment;
        Engine::start(name, behaviour, store, &self.record, arrivals)
    }

    /// Sends a request and records the answer.
    fn send(&self, request: &Request, node: &Node) -> Result<u16, String> {
        let (id, path, to) = (&request.id, &request.path, &node.name);
        self.record.add(format!("client sends {id} {path} to {to}"));
        let answer = request.send(node.callers);
        let line = match &answer {
            Ok(status) => format!("client gets {status} for {id}"),
            Err(error) => format!("client gets no answer for {id}: {error}"),
        };
        self.record.add(line);
        answer
    }

    /// A request that crashes each engine that begins to run it comes again at one machine
    /// after the other: a plain one, or one whose answer is a stream, which ends in the middle
    /// of its second event.
    fn deadly(&self, is_stream: bool) -> Result<Verdict, String> {
        const NODES: usize = 8;
        const INTERVAL_MS: u128 = 2_000;
        const REPEATS: usize = 16;
        const BACK_AFTER: Duration = Duration::from_secs(3);
        let deployment = self.deploy(NODES)?;
        // The engines of the sheet.
        let (service, path, engine_count) = if is_stream {
            ("models", DEADLY_DIGEST, 9)
        } else {
            ("app", DEADLY_HOLD, 3)
        };
        let behaviour = Behaviour {
            service: service.to_owned(),
            work_ms: 30,
            streams: is_stream,
            deadly_prefix: self.has_trouble.then(|| path.to_owned()),
        };
        let mut engines: Vec<Engine> = (0..engine_count)
            .map(|index| self.start_engine(&deployment, &format!("i-{index}-0"), &behaviour))
            .collect();
        thread::sleep(Duration::from_secs(1));
        let is_over = AtomicBool::new(false);
        let lost = Mutex::new(Vec::new());
        thread::scope(|scope| {
            scope.spawn(|| {
                // A crashed engine is back after some seconds, as a new instance.
                let mut down_since: Vec<Option<std::time::Instant>> = vec![None; engine_count];
                let mut starts = vec![0; engine_count];
                while !is_over.load(Ordering::SeqCst) {
                    for (index, engine) in engines.iter_mut().enumerate() {
                        if !engine.is_down() {
                            continue;
                        }
                        let since = down_since[index].get_or_insert_with(std::time::Instant::now);
                        if since.elapsed() >= BACK_AFTER {
                            down_since[index] = None;
                            starts[index] += 1;
                            let name = format!("i-{index}-{}", starts[index]);
                            *engine = self.start_engine(&deployment, &name, &behaviour);
                        }
                    }
                    thread::sleep(Duration::from_millis(20));
                }
            });
            scope.spawn(|| {
                // Other callers, whose requests run beside it.
                for index in 0_usize.. {
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    let node = &deployment.nodes[index % NODES];
                    let request = if is_stream {
                        digest(&format!("o{index:015x}"), KEY, 1_000 + index, 0)
                    } else {
                        Request {
                            body: format!("{{\"hold\":\"variant {index}\"}}").into_bytes(),
                            ..hold(format!("o{index:015x}"), HOLD)
                        }
                    };
                    let lost = &lost;
                    scope.spawn(move || {
                        let answer = request.send(node.callers);
                        if answer != Ok(200) {
                            let id = &request.id;
                            let line = format!("another caller gets {answer:?} for {id}");
                            let at_ms = self.record.add(line);
                            lost.lock().expect("lock").push(at_ms);
                        }
                    });
                    thread::sleep(Duration::from_millis(10));
                }
            });
            let started_ms = self.record.now_ms();
            for repeat in 0..REPEATS {
                self.record
                    .sleep_until(started_ms + repeat as u128 * INTERVAL_MS);
                let node = &deployment.nodes[repeat % NODES];
                let id = format!("d{repeat:015x}");
                let request = if is_stream {
                    Request {
                        path: path.to_owned(),
                        ..digest(&id, KEY, 18_000, 0)
                    }
                } else {
                    hold(id, path)
                };
                // The answer is in the record; nobody waits for it.
                let _ = self.send(&request, node);
            }
            is_over.store(true, Ordering::SeqCst);
        });
        let arrivals = deployment.arrivals();
        let deadly: Vec<&Arrival> = arrivals.iter().filter(|arrival| arrival.crashed).collect();
        let Some(third) = deadly.get(2) else {
            return Ok(Verdict::Held(format!("{} engines crashed", deadly.len())));
        };
        let from_ms = third.at_ms + CONTACT_MS;
        let lost: Vec<u128> = lost.into_inner().expect("lock");
        let late = deadly.iter().filter(|arrival| arrival.at_ms > from_ms);
        let late: Vec<String> = late
            .map(|arrival| format!("{} at {} ms", arrival.request, arrival.at_ms))
            .collect();
        let line = format!(
            "{} engines crashed under the request; it reached engines {} times later than \
             contactMs after the third crash, at {} ms: {}; {} requests of other callers were \
             lost meanwhile",
            deadly.len(),
            late.len(),
            third.at_ms,
            late.join(", "),
            lost.iter().filter(|at_ms| **at_ms > from_ms).count()
        );
        Ok(if late.len() > 3 {
            Verdict::Broken(line)
        } else {
            Verdict::Held(line)
        })
    }

    /// A key is taken away while a machine is cut off from the store; a request with the
    /// key arrives over a slow link while the cut ends.
    fn revoke(&self) -> Result<Verdict, String> {
        let deployment = self.deploy(1)?;
        let behaviour = Behaviour {
            service: "models".to_owned(),
            work_ms: 100,
            streams: true,
            deadly_prefix: None,
        };
        let _engine = self.start_engine(&deployment, "i-7f3a91c2", &behaviour);
        let node = &deployment.nodes[0];
        thread::sleep(Duration::from_secs(1));
        if self.send(&digest("before", TAKEN_KEY, 18_000, 0), node) != Ok(200) {
            return Err("a request before the change was not served".to_owned());
        }
        let start_ms = self.record.now_ms();
        if self.has_trouble {
            deployment.store.set_cut(&node.access, true);
            self.record
                .add("the machine is cut off from the store (reset)");
        }
        self.record.sleep_until(start_ms + 50);
        deployment.store.put("op/config", &configuration(2, &[KEY]));
        let acknowledged_ms = self
            .record
            .add("the store acknowledges version 2 without the key");
        let mut sent_ms = 0;
        thread::scope(|scope| {
            scope.spawn(|| {
                self.record.sleep_until(start_ms + CUT_MS);
                if self.has_trouble {
                    deployment.store.set_cut(&node.access, false);
                    self.record.add("the cut ends");
                }
            });
            self.record.sleep_until(acknowledged_ms + REVOKE_MS + 100);
            sent_ms = self.record.now_ms();
            let _ = self.send(&digest("after", TAKEN_KEY, 110_000, 3_500), node);
        });
        let later_ms = sent_ms - acknowledged_ms;
        let has_run = deployment
            .arrivals()
            .iter()
            .any(|arrival| arrival.request == "after");
        Ok(if has_run {
            Verdict::Broken(format!(
                "a request that was sent {later_ms} ms after its key was taken away has run"
            ))
        } else {
            Verdict::Held(format!(
                "a request that was sent {later_ms} ms after its key was taken away did not run"
            ))
        })
    }

    /// A key is taken away while a machine is cut off from the store; a request with the key to a
    /// public route reaches an engine in the name of the tenant that held it.
    fn public(&self) -> Result<Verdict, String> {
        let deployment = self.deploy(1)?;
        let behaviour = Behaviour {
            service: "app".to_owned(),
            work_ms: 30,
            streams: false,
            deadly_prefix: None,
        };
        let _engine = self.start_engine(&deployment, "i-40f425ee", &behaviour);
        let node = &deployment.nodes[0];
        thread::sleep(Duration::from_secs(1));
        let page = |id: &str| Request {
            key: TAKEN_KEY.to_owned(),
            ..hold(id.to_owned(), PAGE)
        };
        if self.send(&page("before"), node) != Ok(200) {
            return Err("a request before the change was not served".to_owned());
        }
        if self.has_trouble {
            deployment.store.set_cut(&node.access, true);
            self.record
                .add("the machine is cut off from the store (reset)");
        }
        let start_ms = self.record.now_ms();
        thread::sleep(Duration::from_millis(50));
        deployment.store.put("op/config", &configuration(2, &[KEY]));
        let acknowledged_ms = self
            .record
            .add("the store acknowledges version 2 without the key");
        let mut sent_ms = 0;
        for request in 0..5 {
            self.record
                .sleep_until(acknowledged_ms + REVOKE_MS + 50 + request * 60);
            if sent_ms == 0 {
                sent_ms = self.record.now_ms();
            }
            let _ = self.send(&page(&format!("after-{request}")), node);
        }
        self.record.sleep_until(start_ms + CUT_MS);
        if self.has_trouble {
            deployment.store.set_cut(&node.access, false);
            self.record.add("the cut ends");
        }
        let arrivals = deployment.arrivals();
        let foreign = arrivals
            .iter()
            .filter(|arrival| arrival.request.starts_with("after") && arrival.tenant.is_some());
        let foreign = foreign.count();
        let line = format!(
            "{foreign} of 5 requests that were sent {} ms or more after their key was taken away \
             reached the engine in the name of the tenant that had held it",
            sent_ms - acknowledged_ms
        );
        Ok(if foreign > 0 {
            Verdict::Broken(line)
        } else {
            Verdict::Held(line)
        })
    }
}
