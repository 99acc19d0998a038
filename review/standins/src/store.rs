//! The platform's store, as PROTOCOL.md and LETTER-5.md describe it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Request};
use crate::json::Json;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    lease: u64,
}

/// What a copy of the store holds.
#[derive(Clone)]
pub struct Copy {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: u64,
}

struct State {
    content: Copy,
    /// Changes by revision; `None` for a deleted key.
    history: Vec<(u64, String, Option<Item>)>,
    era: u64,
    is_away: bool,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

type Answer = Option<(u16, Vec<(String, String)>, Vec<u8>)>;

impl Store {
    pub fn start() -> Store {
        let content = Copy {
            revision: 100,
            items: BTreeMap::new(),
            leases: 10,
        };
        let state = State {
            content,
            history: Vec::new(),
            era: 1,
            is_away: false,
        };
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let serving = Arc::clone(&state);
        let address = http::serve(move |request| respond(&serving, request));
        Store { state, address }
    }

    /// Writes as the operator or an engine does; returns once it is acknowledged, or false
    /// while the store is away.
    pub fn write(&self, key: &str, text: &str) -> bool {
        let mut state = self.state.0.lock().expect("state");
        if state.is_away {
            return false;
        }
        put(&mut state, key, &encode(text.as_bytes()), 0);
        self.state.1.notify_all();
        true
    }

    pub fn copy(&self) -> Copy {
        self.state.0.lock().expect("state").content.clone()
    }

    pub fn go_away(&self) {
        self.state.0.lock().expect("state").is_away = true;
        self.state.1.notify_all();
    }

    pub fn return_from(&self, copy: Copy) {
        let mut state = self.state.0.lock().expect("state");
        let revision = copy.revision;
        state.history.retain(|(change, _, _)| *change <= revision);
        state.content = copy;
        state.era += 1;
        state.is_away = false;
    }
}

fn put(state: &mut State, key: &str, value: &str, lease: u64) {
    state.content.revision += 1;
    let revision = state.content.revision;
    let item = Item {
        value: value.to_owned(),
        revision,
        lease,
    };
    state.content.items.insert(key.to_owned(), item.clone());
    state.history.push((revision, key.to_owned(), Some(item)));
}

fn respond(shared: &(Mutex<State>, Condvar), request: &Request) -> Answer {
    let mut state = shared.0.lock().expect("state");
    if state.is_away {
        return None;
    }
    let (status, body) = match (request.method.as_str(), request.path()) {
        ("GET", "/-/kv-range") => (200, range(&state, &request.query("prefix")?, request)),
        ("GET", "/-/kv-key") => {
            let key = request.query("key")?;
            match state.content.items.get(&key) {
                Some(item) => (200, render(&key, item)),
                None => (404, "{}".to_owned()),
            }
        }
        ("GET", "/-/kv-watch") => {
            let prefix = request.query("prefix")?;
            let after: u64 = request.query("after")?.parse().ok()?;
            let wait_ms: u64 = request.query("waitMs")?.parse().ok()?;
            let until = Instant::now() + Duration::from_millis(wait_ms);
            let era = state.era;
            loop {
                if state.is_away || state.era != era {
                    return None;
                }
                let oldest = state.history.first().map_or(101, |change| change.0);
                if after > state.content.revision || after + 1 < oldest {
                    break (410, "{}".to_owned());
                }
                let events = events(&state, &prefix, after);
                let left = until.saturating_duration_since(Instant::now());
                if !events.is_empty() || left.is_zero() {
                    let revision = state.content.revision;
                    let events = events.join(",");
                    break (200, format!("{{\"events\":[{events}],\"storeRevision\":{revision}}}"));
                }
                state = shared.1.wait_timeout(state, left).expect("state").0;
            }
        }
        ("POST", "/-/kv-txn") => {
            let answer = transact(&mut state, &String::from_utf8_lossy(&request.body))?;
            shared.1.notify_all();
            answer
        }
        ("POST", "/-/kv-lease") => {
            state.content.leases += 1;
            let body = Json::parse(&String::from_utf8_lossy(&request.body))?;
            let ttl = body.number("ttlMs")?;
            (200, format!("{{\"lease\":{},\"ttlMs\":{ttl}}}", state.content.leases))
        }
        ("POST", path) if path.starts_with("/-/kv-keep/") => {
            let lease: u64 = path.rsplit('/').next()?.parse().ok()?;
            let is_known = lease <= state.content.leases;
            (if is_known { 200 } else { 404 }, "{\"ttlMs\":600000}".to_owned())
        }
        _ => (404, "{}".to_owned()),
    };
    let headers = vec![
        ("Content-Type".to_owned(), "application/json".to_owned()),
        ("Store-Era".to_owned(), state.era.to_string()),
    ];
    Some((status, headers, body.into_bytes()))
}

fn range(state: &State, prefix: &str, request: &Request) -> String {
    let after = request.query("after").unwrap_or_default();
    let items = state.content.items.iter();
    let items: Vec<String> = items
        .filter(|(key, _)| key.starts_with(prefix) && **key > after)
        .map(|(key, item)| render(key, item))
        .collect();
    let revision = state.content.revision;
    format!(
        "{{\"items\":[{}],\"hasMore\":false,\"storeRevision\":{revision}}}",
        items.join(",")
    )
}

fn events(state: &State, prefix: &str, after: u64) -> Vec<String> {
    let changes = state.history.iter();
    changes
        .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
        .map(|(revision, key, item)| match item {
            Some(item) => render(key, item),
            None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
        })
        .collect()
}

fn render(key: &str, item: &Item) -> String {
    let Item {
        value,
        revision,
        lease,
    } = item;
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{revision},\"lease\":{lease}}}"
    )
}

fn transact(state: &mut State, body: &str) -> Option<(u16, String)> {
    let body = Json::parse(body)?;
    let conditions = body.list("expectedRev");
    let holds = conditions.iter().all(|condition| {
        let key = condition.text("key").unwrap_or_default();
        let known = state.content.items.get(&key).map_or(0, |item| item.revision);
        condition.number("revision") == Some(known)
    });
    if !holds {
        let items: Vec<String> = conditions
            .iter()
            .filter_map(|condition| condition.text("key"))
            .map(|key| match state.content.items.get(&key) {
                Some(item) => render(&key, item),
                None => "null".to_owned(),
            })
            .collect();
        return Some((412, format!("{{\"items\":[{}]}}", items.join(","))));
    }
    for entry in body.list("puts") {
        let lease = entry.number("lease").unwrap_or(0);
        if lease > state.content.leases {
            return Some((404, "{}".to_owned()));
        }
        put(state, &entry.text("key")?, &entry.text("value")?, lease);
    }
    for key in body.list("remove") {
        if let Json::Text(key) = key {
            if state.content.items.remove(&key).is_some() {
                state.content.revision += 1;
                let revision = state.content.revision;
                state.history.push((revision, key, None));
            }
        }
    }
    Some((200, format!("{{\"revision\":{}}}", state.content.revision)))
}

fn encode(bytes: &[u8]) -> String {
    const LETTERS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for place in 0..4 {
            if place <= chunk.len() {
                let index = bits >> (18 - 6 * place) & 63;
                out.push(char::from(LETTERS[index as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}
