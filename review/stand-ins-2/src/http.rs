//! HTTP/1.1 over blocking sockets: as much as the users' pages need.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// The head and the body of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The words of the first line.
    pub first: Vec<String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// The last value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut named = self.headers.iter().rev();
        named
            .find(|(each, _)| each.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.first().map_or("", String::as_str)
    }

    pub fn target(&self) -> &str {
        self.first.get(1).map_or("", String::as_str)
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.first
            .get(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }

    /// Whether the sender closes the connection after this message.
    pub fn closes(&self) -> bool {
        self.header("connection")
            .is_some_and(|value| value.to_ascii_lowercase().contains("close"))
    }
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Connection {
            stream,
            ahead: Vec::new(),
        }
    }

    /// Reads one message; `None` at the end of the connection.
    pub fn read(&mut self, is_response: bool) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(end) = find(&self.ahead, b"\r\n\r\n") {
                break end + 4;
            }
            if self.fill()? == 0 {
                return if self.ahead.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
        };
        let head: Vec<u8> = self.ahead.drain(..end).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.split("\r\n");
        let mut message = Message {
            first: lines
                .next()
                .unwrap_or("")
                .split(' ')
                .map(str::to_owned)
                .collect(),
            ..Message::default()
        };
        for line in lines.filter(|line| !line.is_empty()) {
            let (name, value) = line.split_once(':').unwrap_or((line, ""));
            message
                .headers
                .push((name.to_owned(), value.trim().to_owned()));
        }
        let chunked = message
            .header("transfer-encoding")
            .is_some_and(|value| value.contains("chunked"));
        let length = message
            .header("content-length")
            .and_then(|value| value.parse::<usize>().ok());
        message.body = match (chunked, length) {
            (true, _) => self.read_chunks()?,
            (false, Some(length)) => self.read_exact(length)?,
            (false, None) if is_response && message.status() != 204 && message.status() != 304 => {
                self.read_to_end()?
            }
            (false, None) => Vec::new(),
        };
        Ok(Some(message))
    }

    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.read_line()?;
            let size = line.split(';').next().unwrap_or("").trim();
            let size = usize::from_str_radix(size, 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            if size == 0 {
                while !self.read_line()?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.read_exact(size)?);
            self.read_line()?;
        }
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = find(&self.ahead, b"\r\n") {
                let line: Vec<u8> = self.ahead.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn read_exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.ahead.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.ahead.drain(..length).collect())
    }

    fn read_to_end(&mut self) -> io::Result<Vec<u8>> {
        while self.fill()? > 0 {}
        Ok(std::mem::take(&mut self.ahead))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut buffer = [0; 16 * 1024];
        let count = self.stream.read(&mut buffer)?;
        self.ahead.extend_from_slice(&buffer[..count]);
        Ok(count)
    }

    /// Sends a message with a `Content-Length`.
    pub fn write(
        &mut self,
        first: &str,
        headers: &[(&str, String)],
        body: &[u8],
    ) -> io::Result<()> {
        self.stream.write_all(&encode(first, headers, body))
    }
}

/// The bytes of a message with a `Content-Length`.
pub fn encode(first: &str, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{first}\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend(format!("{name}: {value}\r\n").bytes());
    }
    bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).bytes());
    bytes.extend_from_slice(body);
    bytes
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

/// The usual reason of a status.
pub fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        409 => "Conflict",
        410 => "Gone",
        421 => "Misdirected Request",
        503 => "Service Unavailable",
        _ => "Status",
    }
}
