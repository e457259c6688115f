//! Tests that the proxy sends answers twice, at once or in place of the next
//! answer, and never inside another answer.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

use async_std::task;
use threadledge_soak::proxy::Proxy;
use threadledge_soak::proxy::copies::{CopyTiming, Doubling};

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\n\r\n";

struct Connection {
    proxy: Proxy,
    client: TcpStream,
    server: TcpStream,
}

impl Connection {
    fn open(doubling: Doubling) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let target = listener.local_addr().expect("its address");
        let proxy = task::block_on(Proxy::start(target)).expect("a proxy");
        proxy.set_doubling(doubling);
        let client = TcpStream::connect(proxy.address()).expect("a connection");
        let (server, _) = listener.accept().expect("its continuation");
        Connection {
            proxy,
            client,
            server,
        }
    }

    fn ask(&mut self) {
        self.client.write_all(REQUEST).expect("sent");
        let mut bytes = vec![0; REQUEST.len()];
        self.server.read_exact(&mut bytes).expect("a request");
    }

    fn answer(&mut self, parts: &[&str]) {
        for part in parts {
            self.server.write_all(part.as_bytes()).expect("sent");
        }
    }

    fn assert_arrives(&mut self, expected: &str) {
        let mut bytes = vec![0; expected.len()];
        self.client.read_exact(&mut bytes).expect("bytes");
        assert_eq!(String::from_utf8_lossy(&bytes), expected);
    }
}

fn text(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

#[test]
fn late_copy_stands_in_place_of_the_next_answer() {
    let mut connection = Connection::open(Doubling::new(CopyTiming::Late, 100, 1));
    connection.ask();
    connection.answer(&[&text("one")]);
    connection.assert_arrives(&text("one"));
    connection.ask();
    connection.assert_arrives(&text("one"));
    connection.answer(&[&text("two")]);
    connection.assert_arrives(&text("two"));
    connection.ask();
    connection.assert_arrives(&text("two"));
    assert_eq!(connection.proxy.doubled(), 2);
}

#[test]
fn copy_at_once_follows_the_whole_answer() {
    let mut connection = Connection::open(Doubling::new(CopyTiming::AtOnce, 100, 1));
    connection.ask();
    let whole = text("one");
    connection.answer(&[&whole[..10], &whole[10..]]);
    connection.assert_arrives(&whole);
    connection.assert_arrives(&whole);
}

#[test]
fn answers_arrive_once_without_copies() {
    let mut connection = Connection::open(Doubling::none());
    for body in ["one", "two"] {
        connection.ask();
        connection.answer(&[&text(body)]);
        connection.assert_arrives(&text(body));
    }
    assert_eq!(connection.proxy.doubled(), 0);
}
