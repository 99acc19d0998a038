//! HTTP/1.1 over blocking sockets: one thread a connection.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target.split_once('?')?;
        query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then(|| decode(value))
        })
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            let digits = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("20");
            out.push(u8::from_str_radix(digits, 16).unwrap_or(b' '));
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Serves requests with `answer`; `None` closes the connection without an answer.
pub fn serve<F>(answer: F) -> SocketAddr
where
    F: Fn(&Request) -> Option<(u16, Vec<(String, String)>, Vec<u8>)> + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = Arc::clone(&answer);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut stream = stream;
                while let Some(request) = read_message(&mut stream) {
                    let Some((status, headers, body)) = answer(&request) else {
                        return;
                    };
                    let mut head = format!("HTTP/1.1 {status} S\r\n");
                    for (name, value) in headers {
                        head.push_str(&format!("{name}: {value}\r\n"));
                    }
                    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
                    let mut bytes = head.into_bytes();
                    bytes.extend_from_slice(&body);
                    if stream.write_all(&bytes).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Reads a request, or a response with its status line in `method` and `target`.
fn read_message(stream: &mut TcpStream) -> Option<Request> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let mut lines = head.lines();
    let first = lines.next()?.to_owned();
    let mut words = first.split(' ');
    let method = words.next()?.to_owned();
    let target = words.next()?.to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(Request {
        method,
        target,
        headers,
        body,
    })
}

/// Sends one request on a new connection; returns the status, 0 without an answer.
pub fn send(address: SocketAddr, head: &str, body: &[u8]) -> u16 {
    let connected = TcpStream::connect_timeout(&address, Duration::from_millis(500));
    let Ok(mut stream) = connected else {
        return 0;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(3_000)));
    let mut bytes = head.as_bytes().to_vec();
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    if stream.write_all(&bytes).is_err() {
        return 0;
    }
    let answer = read_message(&mut stream);
    answer.and_then(|answer| answer.target.parse().ok()).unwrap_or(0)
}
