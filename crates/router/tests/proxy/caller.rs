//! A test client that reads responses without interpreting them.

use std::net::SocketAddr;

use async_std::net::TcpStream;
use futures::{AsyncReadExt, AsyncWriteExt};

use crate::back_end::header;
use crate::world::within;

/// A connection to the proxy.
pub struct Caller {
    pub stream: TcpStream,
    unread: Vec<u8>,
}

/// A response as received by the caller.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
    /// True if the body has the announced length.
    pub complete: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }

    pub fn outcome(&self) -> &str {
        self.header("threadledge-outcome").unwrap_or("")
    }

    pub fn reason(&self) -> &str {
        self.header("threadledge-reason").unwrap_or("")
    }
}

impl Caller {
    pub async fn connect(address: SocketAddr) -> Caller {
        let stream = within(TcpStream::connect(address)).await.unwrap();
        Caller {
            stream,
            unread: Vec::new(),
        }
    }

    /// Sends a request to the service on host `s.test`.
    pub async fn send(&mut self, method: &str, target: &str, headers: &str, body: &[u8]) {
        let length = body.len();
        let head = format!(
            "{method} {target} HTTP/1.1\r\nhost: s.test\r\ncontent-length: {length}\r\n{headers}\r\n"
        );
        let request = [head.as_bytes(), body].concat();
        within(self.stream.write_all(&request)).await.unwrap();
    }

    pub async fn get(&mut self, target: &str) -> Answer {
        self.send("GET", target, "", b"").await;
        self.read_answer().await
    }

    pub async fn post(&mut self, target: &str, body: &[u8]) -> Answer {
        self.send("POST", target, "", body).await;
        self.read_answer().await
    }

    /// Reads one response.
    pub async fn read_answer(&mut self) -> Answer {
        let end = loop {
            let found = self.unread.windows(4).position(|part| part == b"\r\n\r\n");
            match found {
                Some(position) => break position + 4,
                None => assert!(self.fill().await, "no response"),
            }
        };
        let head: Vec<u8> = self.unread.drain(..end).collect();
        let head = String::from_utf8(head).unwrap();
        let length = header(&head, "content-length").map(|length| length.parse().unwrap());
        let length: usize = length.expect("a response with a content-length");
        while self.unread.len() < length && self.fill().await {}
        let complete = self.unread.len() >= length;
        let body = self.unread.drain(..length.min(self.unread.len())).collect();
        Answer {
            status: head[9..12].parse().unwrap(),
            head,
            body: String::from_utf8(body).unwrap(),
            complete,
        }
    }

    /// Sends a request as raw bytes.
    pub async fn send_raw(&mut self, bytes: &str) {
        within(self.stream.write_all(bytes.as_bytes()))
            .await
            .unwrap();
    }

    /// Reads the heads of responses that have no body.
    pub async fn read_heads(&mut self, count: usize) -> Vec<String> {
        let mut heads = Vec::new();
        while heads.len() < count {
            let found = self.unread.windows(4).position(|part| part == b"\r\n\r\n");
            if let Some(position) = found {
                let head = self.unread.drain(..position + 4).collect();
                heads.push(String::from_utf8(head).unwrap());
            } else {
                assert!(self.fill().await, "no response");
            }
        }
        heads
    }

    async fn fill(&mut self) -> bool {
        let mut buffer = vec![0; 16 * 1024];
        let count = within(self.stream.read(&mut buffer)).await.unwrap_or(0);
        self.unread.extend_from_slice(&buffer[..count]);
        count > 0
    }
}
