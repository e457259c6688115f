//! HTTP/1.1 messages over blocking sockets.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line, without its line end.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .rev()
            .find(|(each, _)| each.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    /// Path with the query.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target().split_once('?')?.1;
        query
            .split('&')
            .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }

    pub fn status(&self) -> u16 {
        self.start
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }

    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.body).unwrap_or("")
    }

    pub fn closes(&self) -> bool {
        self.header("connection")
            .is_some_and(|value| value.to_ascii_lowercase().contains("close"))
    }
}

/// A connection with the bytes that were read and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    unread: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Connection {
            stream,
            unread: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut part = [0; 16 * 1024];
        let count = self.stream.read(&mut part)?;
        self.unread.extend_from_slice(&part[..count]);
        Ok(count)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(at) = self.unread.windows(2).position(|pair| pair == b"\r\n") {
                let line = String::from_utf8_lossy(&self.unread[..at]).into_owned();
                self.unread.drain(..at + 2);
                return Ok(Some(line));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    fn exactly(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.unread.len() < count {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.unread.drain(..count).collect())
    }

    /// Whether bytes have been read that belong to no message yet.
    pub fn has_unread(&self) -> bool {
        !self.unread.is_empty()
    }

    /// Reads a message; `None` if the peer closed before its first byte.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else {
            return Ok(None);
        };
        self.read_body(&mut message)?;
        Ok(Some(message))
    }

    /// Reads the head of a message.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let mut message = Message::default();
        loop {
            match self.line()? {
                None if self.unread.is_empty() => return Ok(None),
                None => return Err(io::ErrorKind::UnexpectedEof.into()),
                Some(line) if line.is_empty() && message.start.is_empty() => {}
                Some(line) if line.is_empty() => break,
                Some(line) if message.start.is_empty() => message.start = line,
                Some(line) => {
                    let (name, value) = line.split_once(':').unwrap_or((&line, ""));
                    message
                        .headers
                        .push((name.trim().to_owned(), value.trim().to_owned()));
                }
            }
        }
        Ok(Some(message))
    }

    /// Reads the body that follows the head of a message.
    pub fn read_body(&mut self, message: &mut Message) -> io::Result<()> {
        let chunked = message
            .header("transfer-encoding")
            .is_some_and(|value| value == "chunked");
        if chunked {
            loop {
                let line = self.line()?.ok_or(io::ErrorKind::UnexpectedEof)?;
                let size = line.split(';').next().unwrap_or("").trim();
                let size =
                    usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
                if size == 0 {
                    while self.line()?.is_some_and(|line| !line.is_empty()) {}
                    break;
                }
                let mut part = self.exactly(size)?;
                message.body.append(&mut part);
                self.exactly(2)?;
            }
        } else if let Some(length) = message.header("content-length") {
            let length = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
            message.body = self.exactly(length)?;
        }
        Ok(())
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Whether the peer has closed the connection.
    pub fn is_closed(&self) -> bool {
        if self.stream.set_nonblocking(true).is_err() {
            return true;
        }
        let mut byte = [0];
        let closed = match self.stream.peek(&mut byte) {
            Ok(0) => true,
            Ok(_) => false,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        };
        let _ = self.stream.set_nonblocking(false);
        closed
    }
}

/// Builds a response with a length.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        404 => "Not Found",
        409 => "Conflict",
        421 => "Misdirected Request",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Answer",
    };
    let mut text = format!("HTTP/1.1 {status} {reason}\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
