//! Gateways, started with the command and the settings template of the deploy file.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::store::Access;

/// How long all gateways may take to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// A gateway process, killed when it is dropped.
pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    pub access: Arc<Access>,
    readiness: SocketAddr,
    process: Child,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Node {
    /// Starts a gateway with a settings file in `folder`.
    pub fn start(
        name: &str,
        zone: &str,
        store: SocketAddr,
        access: Arc<Access>,
        folder: &Path,
    ) -> Result<Self, String> {
        let [callers, readiness, peers, metrics] = free_addresses();
        let settings = folder.join(format!("{name}.ini"));
        let template = fs::read_to_string("deploy/node.ini").map_err(|error| error.to_string())?;
        let text = fill(
            &template,
            &fields(name, zone, store, [callers, readiness, peers, metrics]),
        )?;
        fs::write(&settings, text).map_err(|error| error.to_string())?;
        let mut command = deploy_command(&settings)?;
        let log = File::create(folder.join(format!("{name}.log")));
        let log = log.map_err(|error| error.to_string())?;
        command.stdout(Stdio::from(log)).stderr(Stdio::null());
        let process = command
            .spawn()
            .map_err(|error| format!("the gateway cannot be started: {error}"))?;
        Ok(Self {
            name: name.to_owned(),
            callers,
            access,
            readiness,
            process,
        })
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.readiness) else {
            return false;
        };
        let request = "GET /-/readyz HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
        let mut answer = String::new();
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        stream.write_all(request.as_bytes()).is_ok()
            && stream.read_to_string(&mut answer).is_ok()
            && answer.starts_with("HTTP/1.1 200")
    }
}

/// Waits until all gateways are ready.
pub fn wait_until_ready(nodes: &[Node]) -> Result<(), String> {
    let deadline = Instant::now() + START_TIMEOUT;
    while !nodes.iter().all(Node::is_ready) {
        if Instant::now() > deadline {
            return Err("the gateways did not become ready".to_owned());
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    Ok(())
}

/// Returns free addresses below the ports that the system gives to connections, so that none of
/// these takes one before a gateway binds it.
fn free_addresses() -> [SocketAddr; 4] {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = 20_000 + (std::process::id() % 100) as u16 * 100;
    [(); 4].map(|()| loop {
        let port = first + NEXT.fetch_add(1, Ordering::SeqCst);
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            break listener.local_addr().expect("a bound socket");
        }
    })
}

/// Reads the command of the deploy file, with the path of these settings.
fn deploy_command(settings: &Path) -> Result<Command, String> {
    let deploy = fs::read_to_string("deploy/system.toml").map_err(|error| error.to_string())?;
    let run = deploy.lines().find_map(|line| line.strip_prefix("run = "));
    let run = run
        .ok_or("the deploy file has no command")?
        .trim_matches('"');
    let mut words = run.split(' ');
    let program = PathBuf::from(words.next().unwrap_or_default());
    let mut command = Command::new(program);
    for word in words {
        if word.ends_with("boot.toml") {
            command.arg(settings);
        } else {
            command.arg(word);
        }
    }
    command.env("HEMLOCKHITCH_NODE_FILE", settings);
    Ok(command)
}

/// Returns the fields that the platform fills in: those of the sheet of mplra-hitch.
fn fields(
    name: &str,
    zone: &str,
    store: SocketAddr,
    [callers, readiness, peers, metrics]: [SocketAddr; 4],
) -> BTreeMap<&'static str, String> {
    let contracts =
        "base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,rollout";
    let fixed = [
        ("region", "east-mids"),
        ("firstStart", "true"),
        ("ip", "127.0.0.1"),
        ("contracts", contracts),
        ("bounds.revokeMs", "5000"),
        ("bounds.configApplyMs", "2000"),
        ("bounds.retryBudgetRatio", "0.9"),
        ("bounds.retryAllowance", "56"),
        ("bounds.budgetWindowS", "10"),
        ("bounds.coldOvershoot", "1.5"),
        ("bounds.coldAllowance", "5"),
        ("bounds.exposureShare", "0.15"),
        ("bounds.reuseWindowS", "8.9"),
        ("bounds.sessionS", "5"),
        ("bounds.graceS", "8"),
        ("limits.linkMbps", "1000.0"),
        ("limits.cpuShare", "0.25"),
        ("limits.memoryMb", "260"),
    ];
    let mut fields: BTreeMap<&'static str, String> = fixed
        .into_iter()
        .map(|(field, value)| (field, value.to_owned()))
        .collect();
    fields.insert("nodeName", name.to_owned());
    fields.insert("zone", zone.to_owned());
    fields.insert("listen.front", callers.to_string());
    fields.insert("listen.readiness", readiness.to_string());
    fields.insert("internalPorts.0", metrics.port().to_string());
    fields.insert("internalPorts.1", peers.port().to_string());
    fields.insert("platform.addr", store.to_string());
    fields
}

fn fill(template: &str, fields: &BTreeMap<&'static str, String>) -> Result<String, String> {
    let mut text = String::new();
    let mut rest = template;
    while let Some((before, after)) = rest.split_once("{{") {
        let (field, after) = after.split_once("}}").ok_or("an open placeholder")?;
        let value = fields.get(field);
        let value = value.ok_or_else(|| format!("the template asks for {field}"))?;
        text.push_str(before);
        text.push_str(value);
        rest = after;
    }
    text.push_str(rest);
    Ok(text)
}
