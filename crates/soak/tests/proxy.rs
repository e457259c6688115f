//! Tests that the proxy's partitions buffer bytes, and that stalled connections
//! stay stalled.

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use async_std::task;
use rustix::net::sockopt;
use threadledge_soak::proxy::rewriter::Rewriter;
use threadledge_soak::proxy::{Directions, Proxy};

/// A proxy, the listener behind it, and a connection through it.
struct ProxySetup {
    listener: TcpListener,
    proxy: Proxy,
    client: TcpStream,
    server: TcpStream,
}

impl ProxySetup {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let target = listener.local_addr().expect("its address");
        let proxy = task::block_on(Proxy::start(target)).expect("a proxy");
        let client = TcpStream::connect(proxy.address()).expect("a connection");
        let (server, _) = listener.accept().expect("its continuation");
        let mut setup = ProxySetup {
            listener,
            proxy,
            client,
            server,
        };
        setup.exchange_both_ways();
        setup
    }

    fn exchange_both_ways(&mut self) {
        self.client.write_all(b"there").expect("sent");
        assert_eq!(read(&mut self.server, 5), b"there");
        self.server.write_all(b"back").expect("sent");
        assert_eq!(read(&mut self.client, 4), b"back");
    }
}

fn read(stream: &mut TcpStream, length: usize) -> Vec<u8> {
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).expect("bytes");
    bytes
}

fn assert_nothing_arrives(stream: &mut TcpStream) {
    stream.set_nonblocking(true).expect("set");
    let error = stream.read(&mut [0]).expect_err("nothing to read");
    assert_eq!(error.kind(), ErrorKind::WouldBlock);
    stream.set_nonblocking(false).expect("set");
}

fn reset(stream: TcpStream) {
    sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).expect("set");
}

#[test]
fn buffered_bytes_arrive_after_the_partition() {
    let mut setup = ProxySetup::start();
    setup.proxy.partition(Directions::Both, None);
    setup.client.write_all(b"kept").expect("sent");
    setup.server.write_all(b"too").expect("sent");
    assert_nothing_arrives(&mut setup.server);
    assert_nothing_arrives(&mut setup.client);
    setup.proxy.heal(Duration::ZERO);
    assert_eq!(read(&mut setup.server, 4), b"kept");
    assert_eq!(read(&mut setup.client, 3), b"too");
    setup.exchange_both_ways();
}

#[test]
fn other_direction_works_when_one_is_cut() {
    let mut setup = ProxySetup::start();
    setup.proxy.partition(Directions::There, None);
    setup.client.write_all(b"kept").expect("sent");
    setup.server.write_all(b"back").expect("sent");
    assert_eq!(read(&mut setup.client, 4), b"back");
    assert_nothing_arrives(&mut setup.server);
    setup.proxy.heal(Duration::ZERO);
    assert_eq!(read(&mut setup.server, 4), b"kept");
    setup.proxy.partition(Directions::Back, None);
    setup.server.write_all(b"kept").expect("sent");
    setup.client.write_all(b"there").expect("sent");
    assert_eq!(read(&mut setup.server, 5), b"there");
    assert_nothing_arrives(&mut setup.client);
}

/// The bytes of a sender that closed the connection properly are still
/// delivered.
#[test]
fn buffered_bytes_of_a_closed_connection_arrive() {
    let mut setup = ProxySetup::start();
    setup.proxy.partition(Directions::Both, None);
    setup.client.write_all(b"kept").expect("sent");
    drop(setup.client);
    assert_nothing_arrives(&mut setup.server);
    setup.proxy.heal(Duration::ZERO);
    let mut rest = Vec::new();
    setup.server.read_to_end(&mut rest).expect("an orderly end");
    assert_eq!(rest, b"kept");
}

/// A sender that resets the connection withdraws the buffered bytes.
#[test]
fn buffered_bytes_of_a_reset_connection_never_arrive() {
    let mut setup = ProxySetup::start();
    setup.proxy.partition(Directions::Both, None);
    setup.client.write_all(b"kept").expect("sent");
    reset(setup.client);
    assert_nothing_arrives(&mut setup.server);
    setup.proxy.heal(Duration::ZERO);
    let error = setup.server.read(&mut [0; 8]).expect_err("a reset");
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
}

/// The connection attempt times out, as when SYN packets are lost.
#[test]
fn no_connection_is_established_during_a_partition() {
    let mut setup = ProxySetup::start();
    let address = setup.proxy.address();
    setup.proxy.partition(Directions::There, None);
    let error = TcpStream::connect_timeout(&address, Duration::from_millis(200));
    let error = error.expect_err("no connection");
    assert_eq!(error.kind(), ErrorKind::TimedOut);
    setup.proxy.heal(Duration::ZERO);
    setup.exchange_both_ways();
    let mut next = TcpStream::connect(address).expect("a connection");
    next.write_all(b"next").expect("sent");
    // The connections that filled the queue may come first; they send nothing.
    loop {
        let (mut server, _) = setup.listener.accept().expect("its continuation");
        let mut said = Vec::new();
        if server.read_exact(&mut [0; 1]).is_ok() {
            server.set_nonblocking(true).expect("set");
            let _ = server.read_to_end(&mut said);
            assert_eq!(said, b"ext");
            return;
        }
    }
}

/// The connection is reset, as one whose SYN packet is lost until the client
/// has given up.
#[test]
fn connection_opened_during_a_partition_of_its_process_is_reset() {
    let setup = ProxySetup::start();
    setup
        .proxy
        .partition(Directions::There, Some(std::process::id()));
    let mut late = TcpStream::connect(setup.proxy.address()).expect("a connection");
    late.write_all(b"lost").expect("sent");
    while setup.proxy.accepted() < 2 {
        std::thread::yield_now();
    }
    setup.proxy.heal(Duration::ZERO);
    let error = late.read(&mut [0]).expect_err("a reset");
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    // The next accepted connection is a different one.
    let mut next = TcpStream::connect(setup.proxy.address()).expect("a connection");
    next.write_all(b"next").expect("sent");
    let (mut server, _) = setup.listener.accept().expect("its continuation");
    assert_eq!(read(&mut server, 4), b"next");
}

#[test]
fn partition_of_one_process_does_not_affect_others() {
    let mut setup = ProxySetup::start();
    setup
        .proxy
        .partition(Directions::Both, Some(std::process::id()));
    setup.client.write_all(b"kept").expect("sent");
    assert_nothing_arrives(&mut setup.server);
    setup.proxy.heal(Duration::ZERO);
    assert_eq!(read(&mut setup.server, 4), b"kept");
    // No process has this id.
    setup.proxy.partition(Directions::Both, Some(u32::MAX));
    setup.exchange_both_ways();
}

#[test]
fn stalled_connection_stays_stalled_and_others_work() {
    let mut setup = ProxySetup::start();
    setup.proxy.stall_connections();
    setup.client.write_all(b"lost").expect("sent");
    setup.proxy.reset_connections();
    let mut next = TcpStream::connect(setup.proxy.address()).expect("a connection");
    next.write_all(b"next").expect("sent");
    let (mut server, _) = setup.listener.accept().expect("its continuation");
    assert_eq!(read(&mut server, 4), b"next");
    assert_nothing_arrives(&mut setup.server);
    assert_nothing_arrives(&mut setup.client);
}

#[test]
fn new_connections_go_to_the_new_target() {
    let mut setup = ProxySetup::start();
    let other = TcpListener::bind("127.0.0.1:0").expect("a port");
    setup
        .proxy
        .set_target(other.local_addr().expect("its address"));
    setup.exchange_both_ways();
    let mut next = TcpStream::connect(setup.proxy.address()).expect("a connection");
    next.write_all(b"next").expect("sent");
    let (mut server, _) = other.accept().expect("its continuation");
    assert_eq!(read(&mut server, 4), b"next");
}

#[test]
fn strings_are_replaced_in_both_directions() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let target = listener.local_addr().expect("its address");
    let any = "127.0.0.1:0".parse().expect("an address");
    let pairs = [("near", "far!"), ("long", "short")];
    let rewriter =
        Rewriter::new(pairs.map(|(client, server)| (client.to_owned(), server.to_owned())));
    let proxy = task::block_on(Proxy::start_at(any, target, rewriter)).expect("a proxy");
    let mut client = TcpStream::connect(proxy.address()).expect("a connection");
    let (mut server, _) = listener.accept().expect("its continuation");
    client.write_all(b"nnear near long").expect("sent");
    assert_eq!(read(&mut server, 15), b"nfar! far! long");
    server.write_all(b"far!far!").expect("sent");
    assert_eq!(read(&mut client, 8), b"nearnear");
}

#[test]
fn refused_connections_leave_open_ones_alone_until_accepted_again() {
    let mut setup = ProxySetup::start();
    setup.proxy.refuse_connections().expect("refuses");
    let refused = TcpStream::connect(setup.proxy.address()).expect_err("refused");
    assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
    setup.exchange_both_ways();
    setup.proxy.accept_connections().expect("accepts");
    let mut client = TcpStream::connect(setup.proxy.address()).expect("a connection");
    let (mut server, _) = setup.listener.accept().expect("its continuation");
    client.write_all(b"there").expect("sent");
    assert_eq!(read(&mut server, 5), b"there");
}
