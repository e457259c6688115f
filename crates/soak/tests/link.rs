//! Tests that the link between two regions delivers what has left a sender, in
//! its turn and also after a reset.

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use async_std::task;
use rustix::net::sockopt;
use threadledge_soak::proxy::link::{Link, LinkEnd};
use threadledge_soak::proxy::rewriter::Rewriter;
use threadledge_soak::proxy::{Directions, Proxy};

/// Time from one end of the link to the other.
const LATENCY: Duration = Duration::from_millis(12);
/// Queue of a full link.
const QUEUE: Duration = Duration::from_millis(300);

/// A link, the listener behind it, and a connection over it.
struct LinkSetup {
    link: Link,
    client: TcpStream,
    server: TcpStream,
}

impl LinkSetup {
    fn start(rewriter: Rewriter) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let target = listener.local_addr().expect("its address");
        let any = "127.0.0.1:0".parse().expect("an address");
        let proxy = task::block_on(Proxy::start_at(any, target, rewriter)).expect("a proxy");
        let link = Link::new(60);
        proxy.set_link(LinkEnd {
            link: link.clone(),
            region: 0,
        });
        let client = TcpStream::connect(proxy.address()).expect("a connection");
        let (server, _) = listener.accept().expect("its continuation");
        let mut setup = LinkSetup {
            link,
            client,
            server,
        };
        setup.exchange_both_ways();
        setup
    }

    /// Returns how long the exchange took.
    fn exchange_both_ways(&mut self) -> Duration {
        let start = Instant::now();
        self.client.write_all(b"there").expect("sent");
        assert_eq!(read(&mut self.server, 5), b"there");
        self.server.write_all(b"back").expect("sent");
        assert_eq!(read(&mut self.client, 4), b"back");
        start.elapsed()
    }
}

fn read(stream: &mut TcpStream, length: usize) -> Vec<u8> {
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).expect("bytes");
    bytes
}

fn reset(stream: TcpStream) {
    sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).expect("set");
}

#[test]
fn bytes_arrive_no_earlier_than_the_latency_in_each_direction() {
    let mut setup = LinkSetup::start(Rewriter::default());
    assert!(setup.exchange_both_ways() >= LATENCY * 2);
}

#[test]
fn bytes_that_left_before_a_reset_arrive_and_the_reset_behind_them() {
    let mut setup = LinkSetup::start(Rewriter::default());
    setup.link.crowd(Directions::There, QUEUE);
    let start = Instant::now();
    setup.client.write_all(b"order").expect("sent");
    reset(setup.client);
    assert_eq!(read(&mut setup.server, 5), b"order");
    assert!(start.elapsed() >= QUEUE);
    let error = setup.server.read(&mut [0]).expect_err("a reset");
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
}

#[test]
fn queue_of_a_full_link_delays_bytes() {
    let mut setup = LinkSetup::start(Rewriter::default());
    setup.link.crowd(Directions::Back, QUEUE);
    assert!(setup.exchange_both_ways() >= QUEUE + LATENCY * 2);
    setup.link.crowd(Directions::Back, Duration::ZERO);
    setup.exchange_both_ways();
}

#[test]
fn connection_that_is_given_up_before_it_is_open_carries_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let target = listener.local_addr().expect("its address");
    let proxy = task::block_on(Proxy::start(target)).expect("a proxy");
    let link = Link::new(60);
    link.crowd(Directions::Both, QUEUE);
    proxy.set_link(LinkEnd { link, region: 1 });
    let mut client = TcpStream::connect(proxy.address()).expect("a connection");
    client.write_all(b"order").expect("sent");
    reset(client);
    let (mut server, _) = listener.accept().expect("its continuation");
    let error = server.read(&mut [0]).expect_err("a reset");
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
}

#[test]
fn closed_direction_leaves_the_other_open() {
    let mut setup = LinkSetup::start(Rewriter::default());
    setup
        .client
        .shutdown(std::net::Shutdown::Write)
        .expect("closed");
    assert_eq!(setup.server.read(&mut [0]).expect("the end"), 0);
    setup.server.write_all(b"back").expect("sent");
    assert_eq!(read(&mut setup.client, 4), b"back");
}

#[test]
fn address_that_is_split_between_two_reads_is_replaced() {
    let pairs = [("127.102.".to_owned(), "127.101.".to_owned())];
    let mut setup = LinkSetup::start(Rewriter::new(pairs));
    setup.client.write_all(b"\"127.1").expect("sent");
    assert_eq!(read(&mut setup.server, 1), b"\"");
    setup.client.write_all(b"02.0.1:7\"").expect("sent");
    assert_eq!(read(&mut setup.server, 14), b"127.101.0.1:7\"");
}
