//! Clients.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{read_body, read_head};

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub path: String,
    pub key: String,
    pub deadline_ms: u64,
    pub body: Vec<u8>,
    /// Headers of a prompt.
    pub has_prompt: bool,
    /// Time over which the body is sent, as over a slow link; 0 for all at once.
    pub upload_ms: u64,
}

impl Request {
    fn head(&self) -> String {
        let prompt = if self.has_prompt {
            // The last part belongs to the request itself.
            let digits = self.id.bytes().fold(0_u32, |hash, byte| {
                (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)
            });
            format!(
                "Hemlockhitch-Model: *\r\nHemlockhitch-Token-Usage: 1460,80\r\n\
                 Hemlockhitch-Prefix-Hash: 5c1e07a2:800,91bd3f06:410,{digits:x}:250\r\n"
            )
        } else {
            String::new()
        };
        format!(
            "POST {} HTTP/1.1\r\nHost: ficu95.example\r\nHemlockhitch-Attempt-Id: {}\r\n{prompt}\
             Hemlockhitch-Deadline-Ms: {}\r\nAuthorization: Bearer {}\r\nContent-Length: {}\r\n\r\n",
            self.path,
            self.id,
            self.deadline_ms,
            self.key,
            self.body.len()
        )
    }

    /// Sends the request on a new connection and returns the status of the answer; an error
    /// if there is no complete one.
    pub fn send(&self, address: SocketAddr) -> Result<u16, String> {
        self.try_send(address).map_err(|error| error.to_string())
    }

    fn try_send(&self, address: SocketAddr) -> std::io::Result<u16> {
        const PIECES: usize = 50;
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(self.deadline_ms + 500)))?;
        stream.write_all(self.head().as_bytes())?;
        if self.upload_ms == 0 {
            stream.write_all(&self.body)?;
        } else {
            for piece in self.body.chunks(self.body.len().div_ceil(PIECES)) {
                stream.write_all(piece)?;
                std::thread::sleep(Duration::from_millis(self.upload_ms / PIECES as u64));
            }
        }
        let mut reader = BufReader::new(stream);
        let Some(head) = read_head(&mut reader)? else {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        };
        read_body(&mut reader, &head, true)?;
        Ok(head.status())
    }
}
