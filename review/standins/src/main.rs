//! Plays the scripts of the review: `review_standins restart-in-drill RECORD`.

mod http;
mod json;
mod store;

use std::env;
use std::fs::{self, File};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{exit, Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use store::Store;

const KEY_KEPT: &str = "key-kept";
const KEY_TAKEN: &str = "key-taken";
/// Index of the node that is restarted.
const RESTARTED: usize = 2;

const REVOKE: Duration = Duration::from_millis(5_000);

struct Node {
    name: String,
    settings: PathBuf,
    callers: SocketAddr,
    readiness: SocketAddr,
    child: Option<Child>,
}

impl Node {
    fn start(&mut self) {
        self.child = Some(start_process(&self.settings));
    }

    fn stop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

struct Fleet {
    nodes: Vec<Node>,
    folder: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            node.stop();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Requests and runs, with their times since the start of the play.
#[derive(Clone)]
struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
    runs: Arc<Mutex<Vec<String>>>,
}

impl Record {
    fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().expect("record"), "{at:8.3}  {text}");
    }
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

fn start_process(settings: &PathBuf) -> Child {
    let log = File::options().create(true).append(true).open(settings.with_extension("log"));
    Command::new("target/release/hemlockhitch")
        .args(["--gateway", "--settings"])
        .arg(settings)
        .stdout(log.expect("a log"))
        .stderr(Stdio::null())
        .spawn()
        .unwrap_or_else(|_| exit(2))
}

fn write_settings(node: &Node, peers: SocketAddr, metrics: SocketAddr, store: SocketAddr, first: bool) {
    let text = format!(
        "[node]\nname = {}\ndata_centre = tallinn-a\nregion = ee-north\nfirst_start = {first}\n\n\
         [listen]\ncallers = {}\nreadiness = {}\npeers = {peers}\nmetrics = {metrics}\n\n\
         [platform]\nkey_value = {store}\ncontracts = base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,rollout\n\n\
         [gateway]\nrevoke_ms = 5000\napply_ms = 2000\nrepeat_ratio = 0.9\nrepeat_allowance = 58\nrepeat_window_s = 10\n\
         cold_factor = 1.5\ncold_allowance = 5\nexposure_share = 0.15\npart_kept_s = 7.9\nsession_s = 5\ngrace_s = 8\n\
         link_mbps = 1000.0\ncores = 0.25\nmemory_mb = 260\n\n[log]\nformat = json\nlevel = info\n",
        node.name, node.callers, node.readiness
    );
    fs::write(&node.settings, text).expect("settings");
}

fn configuration(version: u64, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"holds\",\"host\":\"pets.example\",\"prefix\":\"/holds/\",\
         \"routeKind\":\"non_idempotent\",\"timeoutMs\":1000,\"sloMs\":150,\"priority\":2,\"service\":\"listings-app\",\
         \"maxAttempts\":1,\"public\":false,\"sticky\":false,\"resumable\":false}}],\
         \"services\":[{{\"name\":\"listings-app\",\"healthPath\":\"/healthz\",\"coldS\":0.0,\"coldPerS\":0.0}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"rapla\",\"apiKeys\":[{}],\"priority\":1}}]}}",
        keys.join(",")
    )
}

/// Sends a hold; returns the status.
fn hold(record: &Record, node: &Node, key: &str, number: u32) -> u16 {
    let id = format!("{key}-{number}");
    let head = format!(
        "POST /holds/{number} HTTP/1.1\r\nHost: pets.example\r\nHemlockhitch-Attempt-Id: {id}\r\n\
         Hemlockhitch-Deadline-Ms: 1000\r\nAuthorization: Bearer {key}\r\n"
    );
    record.line(&format!("sent     {id} to {}", node.name));
    let status = http::send(node.callers, &head, b"one cat");
    record.line(&format!("answered {id} by {}: {status}", node.name));
    status
}

fn is_ready(node: &Node) -> bool {
    http::send(node.readiness, "GET /-/readyz HTTP/1.1\r\nHost: node\r\n", b"") == 200
}

fn wait_until(limit_s: u64, condition: impl Fn() -> bool) -> bool {
    let until = Instant::now() + Duration::from_secs(limit_s);
    while Instant::now() < until {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

fn start_engine(record: &Record) -> SocketAddr {
    let record = record.clone();
    http::serve(move |request| {
        let id = request.header("hemlockhitch-attempt-id").unwrap_or_default().to_owned();
        let mut headers = vec![("Hemlockhitch-Attempt-Id".to_owned(), id.clone())];
        if request.header("hemlockhitch-expected-instance").is_some_and(|name| name != "i-1") {
            return Some((421, headers, Vec::new()));
        }
        if request.path() != "/healthz" {
            record.line(&format!("run      {id}"));
            record.runs.lock().expect("runs").push(id);
            thread::sleep(Duration::from_millis(30));
        }
        headers.push(("Hemlockhitch-Response-Signature".to_owned(), "signed".to_owned()));
        Some((200, headers, b"held".to_vec()))
    })
}

fn start_fleet(store: &Store) -> Fleet {
    let folder = env::temp_dir().join(format!("hemlockhitch-review-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a folder");
    let mut fleet = Fleet {
        nodes: Vec::new(),
        folder: folder.clone(),
    };
    for number in 1..=3 {
        let settings = folder.join(format!("node-{number}.ini"));
        let (peers, metrics) = (free_address(), free_address());
        let mut node = Node {
            name: format!("edge-{number}"),
            settings,
            callers: free_address(),
            readiness: free_address(),
            child: None,
        };
        write_settings(&node, peers, metrics, store.address, true);
        node.start();
        // At the next start it is no first start.
        thread::sleep(Duration::from_millis(150));
        write_settings(&node, peers, metrics, store.address, false);
        fleet.nodes.push(node);
    }
    fleet
}

fn main() {
    let mut arguments = env::args().skip(1);
    let play = arguments.next().unwrap_or_default();
    let path = arguments.next().unwrap_or_else(|| exit(2));
    // "0" leaves out both disruptions, "drill" and "kill" bring about that one alone.
    let trouble = env::var("TROUBLE").unwrap_or_default();
    let has_drill = !matches!(trouble.as_str(), "0" | "kill");
    let has_kill = !matches!(trouble.as_str(), "0" | "drill");
    let record = Record {
        file: Arc::new(Mutex::new(File::create(path).unwrap_or_else(|_| exit(2)))),
        started: Instant::now(),
        runs: Arc::default(),
    };
    let verdict = match play.as_str() {
        "restart-in-drill" => restart_in_drill(&record, has_drill, has_kill),
        _ => 2,
    };
    record.line(&format!("verdict: {verdict} (1: the rule was broken, 0: it held, 2: could not run)"));
    exit(verdict);
}

/// The store returns from an older copy while a node starts. A key that was taken away
/// before must not work later than `revokeMs` after the acknowledgement.
fn restart_in_drill(record: &Record, has_drill: bool, has_kill: bool) -> i32 {
    let store = Store::start();
    let engine = start_engine(record);
    let beating = store.clone();
    let seq = Arc::new(Mutex::new(0));
    let beat = move || {
        let mut seq = seq.lock().expect("seq");
        *seq += 1;
        let entry = format!(
            "{{\"service\":\"listings-app\",\"addr\":\"{engine}\",\"zone\":\"tallinn-a\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"ready\",\"coldLeftMs\":0,\"born\":1790000000000,\"seq\":{}}}",
            *seq
        );
        beating.write("servers/i-1", &entry);
    };
    beat();
    thread::spawn(move || loop {
        thread::sleep(Duration::from_millis(1_200));
        beat();
    });
    store.write("op/config", &configuration(1, &[KEY_KEPT, KEY_TAKEN]));
    let mut fleet = start_fleet(&store);
    if !wait_until(15, || fleet.nodes.iter().all(is_ready)) {
        record.line("the nodes did not become ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(3));
    let mut number = 0;
    for node in &fleet.nodes {
        number += 1;
        if hold(record, node, KEY_KEPT, number) != 200 || hold(record, node, KEY_TAKEN, number) != 200 {
            record.line("a hold was not served before the trouble");
            return 2;
        }
    }

    let copy = store.copy();
    record.line("store    a copy is made");
    thread::sleep(Duration::from_millis(500));
    store.write("op/config", &configuration(2, &[KEY_KEPT]));
    let acknowledged = Instant::now();
    record.line("operator version 2 without key-taken is acknowledged");
    let since = |s: f64| {
        let at = acknowledged + Duration::from_secs_f64(s);
        thread::sleep(at.saturating_duration_since(Instant::now()));
    };
    since(1.5);
    for node in &fleet.nodes {
        number += 1;
        if hold(record, node, KEY_TAKEN, number) != 401 {
            record.line("the key still works 1.5 s after the acknowledgement");
            return 2;
        }
    }
    since(3.0);
    if has_drill {
        store.go_away();
        record.line("store    away");
    }
    since(3.1);
    if has_kill {
        let node = &mut fleet.nodes[RESTARTED];
        node.stop();
        node.start();
        let line = format!("platform {} is killed and started again", node.name);
        record.line(&line);
    }
    since(4.5);
    if has_drill {
        store.return_from(copy);
        record.line("store    back from the copy");
    }
    let rewrite = acknowledged + Duration::from_secs_f64(6.5);
    let mut is_rewritten = !has_drill;
    let mut late_ids = Vec::new();
    let end = acknowledged + Duration::from_secs(9);
    while Instant::now() < end {
        if !is_rewritten && Instant::now() >= rewrite {
            is_rewritten = true;
            store.write("op/config", &configuration(2, &[KEY_KEPT]));
            record.line("operator version 2 is written again");
        }
        for node in &fleet.nodes {
            number += 1;
            let is_late = acknowledged.elapsed() > REVOKE;
            hold(record, node, KEY_TAKEN, number);
            if is_late {
                late_ids.push(format!("{KEY_TAKEN}-{number}"));
            }
        }
        thread::sleep(Duration::from_millis(150));
    }
    let served = fleet.nodes.iter().all(|node| {
        number += 1;
        hold(record, node, KEY_KEPT, number) == 200
    });
    if !served {
        record.line("a hold of the key that is kept was not served in the end");
        return 2;
    }
    let runs = record.runs.lock().expect("runs");
    let late_runs = late_ids.iter().filter(|id| runs.contains(id)).count();
    record.line(&format!("requests with key-taken, sent later than 5 s after the acknowledgement, that ran: {late_runs}"));
    i32::from(late_runs > 0)
}
