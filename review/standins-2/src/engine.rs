//! Engines: they register in the store, run requests and record them.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{read_body, read_head, write_response, Head};
use crate::record::Record;
use crate::store::Store;

/// Interval at which an engine writes its registration, `heartbeatMs` of the settings.
pub const HEARTBEAT_MS: u64 = 1_200;

/// Number of events of a stream.
const EVENTS: u64 = 13;

/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);

/// A request that reached an engine.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_ms: u128,
    pub request: String,
    pub tenant: Option<String>,
    pub crashed: bool,
}

/// What engines do with requests.
#[derive(Clone, Debug)]
pub struct Behaviour {
    pub service: String,
    pub work_ms: u64,
    /// Whether answers are streams of events.
    pub streams: bool,
    /// A request whose path begins so crashes the engine that begins to run it.
    pub deadly_prefix: Option<String>,
}

struct Shared {
    name: String,
    behaviour: Behaviour,
    record: Record,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    is_down: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

impl Shared {
    /// Ends the engine as a crash of its process does: without a word to anyone.
    fn crash(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        for connection in self.connections.lock().expect("lock").drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
}

/// A running engine.
#[derive(Clone)]
pub struct Engine {
    shared: Arc<Shared>,
    pub address: SocketAddr,
}

impl Engine {
    /// Starts an engine and registers it in the store, where it is ready from then on.
    pub fn start(
        name: &str,
        behaviour: &Behaviour,
        store: &Store,
        record: &Record,
        arrivals: &Arc<Mutex<Vec<Arrival>>>,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound socket");
        listener.set_nonblocking(true).expect("a socket option");
        let shared = Arc::new(Shared {
            name: name.to_owned(),
            behaviour: behaviour.clone(),
            record: record.clone(),
            arrivals: Arc::clone(arrivals),
            is_down: AtomicBool::new(false),
            connections: Mutex::default(),
        });
        let served = Arc::clone(&shared);
        thread::spawn(move || {
            while !served.is_down.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => accept(&served, stream),
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        let engine = Self { shared, address };
        engine.register(store.clone());
        engine
    }

    pub fn is_down(&self) -> bool {
        self.shared.is_down.load(Ordering::SeqCst)
    }

    /// Writes the registration at each heartbeat until the engine is down. After three
    /// heartbeats of silence the platform removes it.
    fn register(&self, store: Store) {
        let shared = Arc::clone(&self.shared);
        let address = self.address;
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = born.unwrap_or_default().as_millis();
        let key = format!("servers/{}", shared.name);
        let entry = move |seq: u64| {
            format!(
                "{{\"service\":\"{}\",\"addr\":\"{address}\",\"zone\":\"em-a\",\"version\":\"v1\",\
                 \"slots\":128,\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":{seq},\"born\":{born}}}",
                shared.behaviour.service
            )
        };
        store.put(&key, &entry(1));
        let shared = Arc::clone(&self.shared);
        thread::spawn(move || {
            let mut seq = 1;
            loop {
                thread::sleep(Duration::from_millis(HEARTBEAT_MS));
                if shared.is_down.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(2 * HEARTBEAT_MS));
                    store.remove(&key);
                    return;
                }
                seq += 1;
                store.put(&key, &entry(seq));
            }
        });
    }
}

fn accept(shared: &Arc<Shared>, stream: TcpStream) {
    let shared = Arc::clone(shared);
    if let Ok(connection) = stream.try_clone() {
        shared.connections.lock().expect("lock").push(connection);
    }
    thread::spawn(move || {
        // An error means that the other end or the engine itself has gone.
        let _ = serve(&shared, stream);
    });
}

fn serve(shared: &Shared, mut stream: TcpStream) -> std::io::Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(head) = read_head(&mut reader)? {
        let body = read_body(&mut reader, &head, false)?;
        if shared.is_down.load(Ordering::SeqCst) {
            return Ok(());
        }
        answer(shared, &mut stream, &head, body.len())?;
    }
    Ok(())
}

fn answer(
    shared: &Shared,
    stream: &mut TcpStream,
    head: &Head,
    body_bytes: usize,
) -> std::io::Result<()> {
    let path = head.word(1).to_owned();
    let instance = [("Hemlockhitch-Instance-Id", shared.name.clone())];
    if path == "/healthz" {
        return write_response(stream, "200 OK", &instance, b"");
    }
    if path == "/-/report" {
        return write_response(stream, "200 OK", &instance, b"{\"queued\":0,\"active\":0}");
    }
    let request = head.get("hemlockhitch-attempt-id").unwrap_or("").to_owned();
    let id = ("Hemlockhitch-Attempt-Id", request.clone());
    let expected = head.get("hemlockhitch-expected-instance");
    if expected.is_some_and(|expected| expected != shared.name) {
        let headers = [id, ("Hemlockhitch-Instance-Id", shared.name.clone())];
        return write_response(stream, "421 Misdirected Request", &headers, b"");
    }
    let is_deadly = shared.behaviour.deadly_prefix.as_ref();
    let is_deadly = is_deadly.is_some_and(|prefix| path.starts_with(prefix.as_str()));
    let tenant = head.get("hemlockhitch-tenant");
    let ends = if is_deadly { "; crashes" } else { "" };
    let at_ms = shared.record.add(format!(
        "engine {} runs {request} {path} tenant {}, {body_bytes} body bytes{ends}",
        shared.name,
        tenant.unwrap_or("none")
    ));
    shared.arrivals.lock().expect("lock").push(Arrival {
        at_ms,
        request,
        tenant: tenant.map(str::to_owned),
        crashed: is_deadly,
    });
    thread::sleep(Duration::from_millis(shared.behaviour.work_ms));
    if is_deadly && !shared.behaviour.streams {
        shared.crash();
        return Ok(());
    }
    if shared.is_down.load(Ordering::SeqCst) {
        return Ok(());
    }
    let signature = ("Hemlockhitch-Response-Signature", "3e1b.07.5a2".to_owned());
    if !shared.behaviour.streams {
        return write_response(stream, "200 OK", &[id, signature], b"done");
    }
    write!(
        stream,
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
         {}: {}\r\n{}: {}\r\n\r\n",
        id.0, id.1, signature.0, signature.1
    )?;
    let last_event = head.get("last-event-id").and_then(|id| id.parse().ok());
    let first_event: u64 = last_event.unwrap_or(0) + 1;
    for event in first_event..=EVENTS {
        let text = format!("id: {event}\ndata: word\n\n");
        if is_deadly && event > first_event {
            // It ends in the middle of its second event.
            write!(stream, "{:x}\r\n{}", text.len(), &text[..text.len() / 2])?;
            thread::sleep(EVENT_INTERVAL);
            shared.crash();
            return Ok(());
        }
        write!(stream, "{:x}\r\n{text}\r\n", text.len())?;
        thread::sleep(EVENT_INTERVAL);
    }
    stream.write_all(b"0\r\n\r\n")
}
