//! HTTP/1.1 messages over blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// The start line and the headers of a message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name))?;
        Some(&found.1)
    }

    /// Returns a word of the start line.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads a head; `None` if the connection ended before it.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            if head.start.is_empty() {
                return Ok(None);
            }
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if head.start.is_empty() {
            head.start = line.to_owned();
        } else if line.is_empty() {
            return Ok(Some(head));
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers
                .push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads the body that a head announces; of a response without a length, up to the end of the
/// connection.
pub fn read_body(
    reader: &mut BufReader<TcpStream>,
    head: &Head,
    is_response: bool,
) -> io::Result<Vec<u8>> {
    if head
        .get("transfer-encoding")
        .is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
    {
        return read_chunks(reader);
    }
    let mut body = Vec::new();
    match head.get("content-length").map(str::parse::<usize>) {
        Some(Ok(length)) => {
            body.resize(length, 0);
            reader.read_exact(&mut body)?;
        }
        _ if is_response => {
            reader.read_to_end(&mut body)?;
        }
        _ => {}
    }
    Ok(body)
}

fn read_chunks(reader: &mut BufReader<TcpStream>) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = line.trim().split(';').next().unwrap_or_default();
        let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        body.extend_from_slice(&chunk[..size]);
        if size == 0 {
            return Ok(body);
        }
    }
}

pub fn write_response(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut message = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        message.push_str(&format!("{name}: {value}\r\n"));
    }
    message.push_str("\r\n");
    let mut message = message.into_bytes();
    message.extend_from_slice(body);
    stream.write_all(&message)
}
