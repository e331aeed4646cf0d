//! A consumer with a kept channel.

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

pub const HOST: &str = "desk.example";
pub const KEY: &str = "asnmgkcuyj8pjbvk9m68";

pub struct Answer {
    pub status: u16,
    pub stamp: Option<String>,
    pub body: Vec<u8>,
    pub closes: bool,
}

/// Why there is no answer.
#[derive(Debug)]
pub enum Failure {
    /// The channel was closed or reset, with the bytes of an incomplete answer.
    Closed(Vec<u8>),
    /// The time limit passed, with the bytes that had arrived.
    Late(Vec<u8>),
    /// Bytes that are no answer in the protocol.
    NoAnswer(Vec<u8>),
}

pub struct Channel {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Channel {
    pub fn open(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Self::over(stream))
    }

    pub fn over(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn send(&mut self, method: &str, target: &str, id: &str, limit: Duration) -> std::io::Result<()> {
        self.stream.write_all(&request(method, target, id, limit))
    }

    /// Reads the answer to a request.
    pub fn read(&mut self, method: &str, limit: Duration) -> Result<Answer, Failure> {
        let end = Instant::now() + limit;
        let head_end = loop {
            let known = b"HTTP/1.1 ";
            let length = self.buffer.len().min(known.len());
            if self.buffer[..length] != known[..length] {
                return Err(Failure::NoAnswer(std::mem::take(&mut self.buffer)));
            }
            if let Some(at) = self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                break at + 4;
            }
            self.fill(end)?;
        };
        let head = String::from_utf8_lossy(&self.buffer[..head_end]).into_owned();
        let field = |name: &str| {
            let lines = head.lines().filter_map(|line| line.split_once(':'));
            let mut found = lines.filter(|(found, _)| found.eq_ignore_ascii_case(name));
            found.next().map(|(_, value)| value.trim().to_owned())
        };
        let status = head.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
        let length: usize = field("Content-Length").and_then(|text| text.parse().ok()).unwrap_or(0);
        let length = if method == "HEAD" { 0 } else { length };
        while self.buffer.len() < head_end + length {
            self.fill(end)?;
        }
        let rest = self.buffer.split_off(head_end + length);
        let body = self.buffer.split_off(head_end);
        self.buffer = rest;
        Ok(Answer {
            status,
            stamp: field("Server-Stamp"),
            body,
            closes: field("Connection").is_some_and(|text| text.eq_ignore_ascii_case("close")),
        })
    }

    fn fill(&mut self, end: Instant) -> Result<(), Failure> {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(Failure::Late(std::mem::take(&mut self.buffer)));
        }
        let _ = self.stream.set_read_timeout(Some(left));
        let mut bytes = [0; 65_536];
        match self.stream.read(&mut bytes) {
            Ok(0) => Err(Failure::Closed(std::mem::take(&mut self.buffer))),
            Ok(read) => {
                self.buffer.extend_from_slice(&bytes[..read]);
                Ok(())
            }
            Err(error) if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {
                Err(Failure::Late(std::mem::take(&mut self.buffer)))
            }
            Err(_) => Err(Failure::Closed(std::mem::take(&mut self.buffer))),
        }
    }
}

pub fn request(method: &str, target: &str, id: &str, limit: Duration) -> Vec<u8> {
    format!(
        "{method} {target} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {}\r\nAuthorization: Token {KEY}\r\n\r\n",
        limit.as_millis()
    )
    .into_bytes()
}
