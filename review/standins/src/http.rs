//! Blocking HTTP/1.1 connections, for stand-ins that use one thread for each.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The first line and the headers of a message.
#[derive(Debug, Clone)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let named = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        named.map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    fn closes(&self) -> bool {
        self.header("connection")
            .is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }
}

/// A complete response, and whether its connection closes.
#[derive(Debug, Clone)]
pub struct Response {
    pub head: Head,
    pub body: Vec<u8>,
    pub closes: bool,
}

#[derive(Debug)]
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        // Without it answers are only slower.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn open(addr: SocketAddr, timeout: Duration) -> io::Result<Self> {
        TcpStream::connect_timeout(&addr, timeout).map(Self::new)
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut piece = [0; 16_384];
        let size = self.stream.read(&mut piece)?;
        self.buffer.extend_from_slice(&piece[..size]);
        Ok(size)
    }

    fn fill_or_end(&mut self) -> io::Result<()> {
        match self.fill()? {
            0 => Err(ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    /// Reads the head of the next message; `None` if the connection ends before it.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            let end = self.buffer.windows(4).position(|w| w == b"\r\n\r\n");
            if let Some(end) = end {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or("").to_owned();
                let headers = lines
                    .filter_map(|l| l.split_once(':'))
                    .map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()))
                    .collect();
                return Ok(Some(Head { first, headers }));
            }
            if self.fill()? == 0 {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(ErrorKind::UnexpectedEof.into())
                };
            }
        }
    }

    fn take(&mut self, size: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < size {
            self.fill_or_end()?;
        }
        Ok(self.buffer.drain(..size).collect())
    }

    fn take_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.fill_or_end()?;
        }
    }

    /// Reads the body of a message with a length or in chunks; empty if it has neither.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if let Some(length) = head.header("content-length") {
            let length = length.parse().map_err(|_| ErrorKind::InvalidData)?;
            return self.take(length);
        }
        if head.header("transfer-encoding").is_none() {
            return Ok(Vec::new());
        }
        let mut body = Vec::new();
        loop {
            let line = self.take_line()?;
            let size = line.split(';').next().unwrap_or("").trim();
            let size = usize::from_str_radix(size, 16).map_err(|_| ErrorKind::InvalidData)?;
            if size == 0 {
                while !self.take_line()?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.take(size)?);
            self.take_line()?;
        }
    }

    /// Reads and discards a body with a length.
    pub fn skip_body(&mut self, head: &Head) -> io::Result<u64> {
        let length: u64 = head
            .header("content-length")
            .and_then(|l| l.parse().ok())
            .unwrap_or(0);
        let mut remaining = length;
        loop {
            let have = remaining.min(self.buffer.len() as u64);
            self.buffer
                .drain(..usize::try_from(have).expect("no more than the buffer"));
            remaining -= have;
            if remaining == 0 {
                return Ok(length);
            }
            self.fill_or_end()?;
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads a response; `None` if the connection ends before it.
    pub fn read_response(&mut self) -> io::Result<Option<Response>> {
        let Some(head) = self.read_head()? else {
            return Ok(None);
        };
        let body = self.read_body(&head)?;
        let closes = head.closes();
        Ok(Some(Response { head, body, closes }))
    }
}

/// Sends one request on a new connection.
pub fn fetch(addr: SocketAddr, target: &str, timeout: Duration) -> io::Result<Response> {
    let mut connection = Connection::open(addr, timeout)?;
    connection.stream.set_read_timeout(Some(timeout))?;
    connection.write(format!("GET {target} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes())?;
    connection
        .read_response()?
        .ok_or_else(|| ErrorKind::UnexpectedEof.into())
}
