//! Clients of the gateways: each request on a connection of its own, or several
//! on one.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{Connection, Message};

/// One request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub host: String,
    pub path: String,
    pub id: String,
    pub deadline_ms: u64,
    pub key: Option<u16>,
    pub body: Vec<u8>,
}

impl Request {
    /// Sends the request and reads its answer.
    pub fn send(&self, connection: &mut Connection) -> io::Result<Option<Message>> {
        let first = format!("{} {} HTTP/1.1", self.method, self.path);
        let mut headers = vec![
            ("Host", self.host.clone()),
            ("X-Request-Id", self.id.clone()),
            ("X-Request-Deadline-Ms", self.deadline_ms.to_string()),
        ];
        if let Some(key) = self.key {
            headers.push(("X-Shard-Key", key.to_string()));
        }
        connection.write(&first, &headers, &self.body)?;
        let wait = Duration::from_millis(self.deadline_ms + 500);
        connection.stream.set_read_timeout(Some(wait))?;
        connection.read(true)
    }

    /// Sends the request on a new connection.
    pub fn send_to(&self, gateway: SocketAddr) -> io::Result<Option<Message>> {
        let stream = TcpStream::connect_timeout(&gateway, Duration::from_secs(1))?;
        self.send(&mut Connection::new(stream))
    }
}

/// Whether a gateway says that it is ready.
pub fn is_ready(readiness: SocketAddr) -> bool {
    let Ok(stream) = TcpStream::connect_timeout(&readiness, Duration::from_secs(1)) else {
        return false;
    };
    let mut connection = Connection::new(stream);
    let _ = connection
        .stream
        .set_read_timeout(Some(Duration::from_secs(1)));
    let headers = [
        ("Host", readiness.to_string()),
        ("Connection", "close".to_owned()),
    ];
    if connection
        .write("GET /api/ready HTTP/1.1", &headers, b"")
        .is_err()
    {
        return false;
    }
    matches!(connection.read(true), Ok(Some(answer)) if answer.status() == 200)
}
