//! The platform's store: items, watches, transactions and leases, without leases' ends, which
//! no case lasts long enough for.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{read_body, read_head, write_response};
use crate::json::{decode_base64, encode_base64, Json};

#[derive(Clone, Debug)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Content {
    revision: u64,
    leases: u64,
    items: BTreeMap<String, Item>,
    /// Changes in their order: revision, key, and the event as JSON.
    history: Vec<(u64, String, String)>,
}

impl Content {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        let event = item_json(key, &item);
        self.items.insert(key.to_owned(), item);
        self.history.push((revision, key.to_owned(), event));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let revision = self.revision;
            let event = format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}");
            self.history.push((revision, key.to_owned(), event));
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        encode_base64(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

/// How the store treats one machine.
#[derive(Default)]
pub struct Access {
    /// Whether the machine is cut off: its connections are reset.
    is_cut: AtomicBool,
}

/// The store; clones share its content.
#[derive(Clone, Default)]
pub struct Store {
    content: Arc<(Mutex<Content>, Condvar)>,
}

impl Store {
    /// Opens an address for one machine.
    pub fn open(&self) -> (SocketAddr, Arc<Access>) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound socket");
        let access = Arc::new(Access::default());
        let (store, served) = (self.clone(), Arc::clone(&access));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, access) = (store.clone(), Arc::clone(&served));
                thread::spawn(move || {
                    // A machine that ends its connection ends the thread.
                    let _ = store.serve(stream, &access);
                });
            }
        });
        (address, access)
    }

    /// Writes a key as the operator or an engine; it is acknowledged on return.
    pub fn put(&self, key: &str, value: &str) {
        let mut content = self.lock();
        content.revision += 1;
        content.put(key, value.as_bytes().to_vec(), 0);
        self.content.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut content = self.lock();
        content.revision += 1;
        content.remove(key);
        self.content.1.notify_all();
    }

    pub fn set_cut(&self, access: &Access, is_cut: bool) {
        let _content = self.lock();
        access.is_cut.store(is_cut, Ordering::SeqCst);
        self.content.1.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, Content> {
        self.content
            .0
            .lock()
            .expect("no thread panics with the lock")
    }

    fn serve(&self, mut stream: TcpStream, access: &Access) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        loop {
            stream.peek(&mut [0])?;
            if access.is_cut.load(Ordering::SeqCst) {
                // Closing with unread bytes resets the connection.
                return Ok(());
            }
            let Some(head) = read_head(&mut reader)? else {
                return Ok(());
            };
            let body = read_body(&mut reader, &head, false)?;
            thread::sleep(Duration::from_millis(4));
            let answer = self.answer(head.word(0), head.word(1), &body, access);
            let Some((status, body)) = answer.filter(|_| !access.is_cut.load(Ordering::SeqCst))
            else {
                return Ok(());
            };
            let json = [("Content-Type", "application/json".to_owned())];
            write_response(&mut stream, status, &json, body.as_bytes())?;
        }
    }

    /// Answers a call; `None` if the machine is cut off meanwhile.
    fn answer(
        &self,
        method: &str,
        target: &str,
        body: &[u8],
        access: &Access,
    ) -> Option<(&'static str, String)> {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<&str, String> = query
            .split('&')
            .filter_map(|field| field.split_once('='))
            .map(|(name, value)| (name, percent_decode(value)))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let answer = match (method, path) {
            ("GET", "/-/kv-key") => self.read_key(&text("key")),
            ("GET", "/-/kv-range") => self.read_range(&text("prefix"), query.get("after")),
            ("GET", "/-/kv-watch") => {
                let after = text("after").parse().unwrap_or(0);
                let wait_ms = text("waitMs").parse().unwrap_or(0);
                return self.watch(&text("prefix"), after, wait_ms, access);
            }
            ("POST", "/-/kv-txn") => {
                let body = Json::parse(&String::from_utf8_lossy(body));
                body.map_or_else(bad_request, |body| self.transact(&body))
            }
            ("POST", "/-/kv-lease") => {
                let mut content = self.lock();
                content.leases += 1;
                let lease = 77_000 + content.leases;
                ok(format!("{{\"lease\":{lease},\"ttlMs\":600000}}"))
            }
            ("POST", path) if path.starts_with("/-/kv-keep/") => {
                ok("{\"ttlMs\":600000}".to_owned())
            }
            ("DELETE", path) if path.starts_with("/-/kv-lease-end/") => ok("{}".to_owned()),
            _ => bad_request(),
        };
        Some(answer)
    }

    fn read_key(&self, key: &str) -> (&'static str, String) {
        let content = self.lock();
        match content.items.get(key) {
            Some(item) => {
                let json = item_json(key, item);
                let open = json.trim_end_matches('}');
                ok(format!("{open},\"storeRevision\":{}}}", content.revision))
            }
            None => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn read_range(&self, prefix: &str, after: Option<&String>) -> (&'static str, String) {
        let content = self.lock();
        let items = content.items.iter();
        let items = items
            .filter(|(key, _)| key.starts_with(prefix) && after.is_none_or(|after| *key > after));
        let items: Vec<String> = items.map(|(key, item)| item_json(key, item)).collect();
        let items = items.join(",");
        let revision = content.revision;
        ok(format!(
            "{{\"items\":[{items}],\"hasMore\":false,\"storeRevision\":{revision}}}"
        ))
    }

    fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait_ms: u64,
        access: &Access,
    ) -> Option<(&'static str, String)> {
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut content = self.lock();
        loop {
            if access.is_cut.load(Ordering::SeqCst) {
                return None;
            }
            let events = content.history.iter();
            let events = events
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(_, _, event)| event.clone());
            let events: Vec<String> = events.collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = content.revision;
                let events = events.join(",");
                return Some(ok(format!(
                    "{{\"events\":[{events}],\"storeRevision\":{revision}}}"
                )));
            }
            let waited = self.content.1.wait_timeout(content, left);
            content = waited.expect("no thread panics with the lock").0;
        }
    }

    fn transact(&self, body: &Json) -> (&'static str, String) {
        let mut content = self.lock();
        let holds = body.get("expectedRev").list().iter().all(|condition| {
            let key = condition.get("key").text().unwrap_or_default();
            let known = content.items.get(key).map_or(0, |item| item.revision);
            condition.get("revision").number() == Some(known)
        });
        if !holds {
            let items = body.get("expectedRev").list().iter().map(|condition| {
                let key = condition.get("key").text().unwrap_or_default();
                let item = content.items.get(key);
                item.map_or("null".to_owned(), |item| item_json(key, item))
            });
            let items: Vec<String> = items.collect();
            let items = items.join(",");
            return (
                "412 Precondition Failed",
                format!("{{\"items\":[{items}]}}"),
            );
        }
        content.revision += 1;
        for put in body.get("puts").list() {
            let key = put.get("key").text().unwrap_or_default();
            let value = decode_base64(put.get("value").text().unwrap_or_default());
            content.put(key, value, put.get("lease").number().unwrap_or(0));
        }
        for key in body.get("remove").list() {
            content.remove(key.text().unwrap_or_default());
        }
        self.content.1.notify_all();
        ok(format!("{{\"revision\":{}}}", content.revision))
    }
}

fn ok(body: String) -> (&'static str, String) {
    ("200 OK", body)
}

fn bad_request() -> (&'static str, String) {
    ("400 Bad Request", "{}".to_owned())
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let hex = bytes.get(index + 1..index + 3);
        let hex = hex.and_then(|hex| std::str::from_utf8(hex).ok());
        let byte = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[index], byte) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                index += 3;
            }
            (other, _) => {
                decoded.push(other);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
