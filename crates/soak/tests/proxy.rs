//! The proxy's cuts keep bytes as a partition does, and its silent connections
//! stay silent.

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use async_std::task;
use rustix::net::sockopt;
use threadledge_soak::proxy::wording::Wording;
use threadledge_soak::proxy::{Proxy, Ways};

/// A proxy, the listener behind it, and a connection through it.
struct Scene {
    listener: TcpListener,
    proxy: Proxy,
    near: TcpStream,
    far: TcpStream,
}

impl Scene {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let target = listener.local_addr().expect("its address");
        let proxy = task::block_on(Proxy::start(target)).expect("a proxy");
        let near = TcpStream::connect(proxy.address()).expect("a connection");
        let (far, _) = listener.accept().expect("its continuation");
        let mut scene = Scene {
            listener,
            proxy,
            near,
            far,
        };
        scene.speak_both_ways();
        scene
    }

    fn speak_both_ways(&mut self) {
        self.near.write_all(b"there").expect("sent");
        assert_eq!(read(&mut self.far, 5), b"there");
        self.far.write_all(b"back").expect("sent");
        assert_eq!(read(&mut self.near, 4), b"back");
    }
}

fn read(stream: &mut TcpStream, length: usize) -> Vec<u8> {
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).expect("bytes");
    bytes
}

fn assert_nothing_comes(stream: &mut TcpStream) {
    stream.set_nonblocking(true).expect("set");
    let error = stream.read(&mut [0]).expect_err("nothing to read");
    assert_eq!(error.kind(), ErrorKind::WouldBlock);
    stream.set_nonblocking(false).expect("set");
}

fn reset(stream: TcpStream) {
    sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).expect("set");
}

#[test]
fn kept_bytes_come_after_the_cut() {
    let mut scene = Scene::start();
    scene.proxy.hold(Ways::Both, None);
    scene.near.write_all(b"kept").expect("sent");
    scene.far.write_all(b"too").expect("sent");
    assert_nothing_comes(&mut scene.far);
    assert_nothing_comes(&mut scene.near);
    scene.proxy.heal(Duration::ZERO);
    assert_eq!(read(&mut scene.far, 4), b"kept");
    assert_eq!(read(&mut scene.near, 3), b"too");
    scene.speak_both_ways();
}

#[test]
fn other_way_goes_on_when_one_is_cut() {
    let mut scene = Scene::start();
    scene.proxy.hold(Ways::There, None);
    scene.near.write_all(b"kept").expect("sent");
    scene.far.write_all(b"back").expect("sent");
    assert_eq!(read(&mut scene.near, 4), b"back");
    assert_nothing_comes(&mut scene.far);
    scene.proxy.heal(Duration::ZERO);
    assert_eq!(read(&mut scene.far, 4), b"kept");
    scene.proxy.hold(Ways::Back, None);
    scene.far.write_all(b"kept").expect("sent");
    scene.near.write_all(b"there").expect("sent");
    assert_eq!(read(&mut scene.far, 5), b"there");
    assert_nothing_comes(&mut scene.near);
}

/// A sender that closed in order has its bytes delivered all the same.
#[test]
fn kept_bytes_of_a_closed_connection_come() {
    let mut scene = Scene::start();
    scene.proxy.hold(Ways::Both, None);
    scene.near.write_all(b"kept").expect("sent");
    drop(scene.near);
    assert_nothing_comes(&mut scene.far);
    scene.proxy.heal(Duration::ZERO);
    let mut rest = Vec::new();
    scene.far.read_to_end(&mut rest).expect("an orderly end");
    assert_eq!(rest, b"kept");
}

/// A sender that reset the connection has withdrawn what was kept.
#[test]
fn kept_bytes_of_a_reset_connection_never_come() {
    let mut scene = Scene::start();
    scene.proxy.hold(Ways::Both, None);
    scene.near.write_all(b"kept").expect("sent");
    reset(scene.near);
    assert_nothing_comes(&mut scene.far);
    scene.proxy.heal(Duration::ZERO);
    let error = scene.far.read(&mut [0; 8]).expect_err("a reset");
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
}

/// As when first packets are lost.
#[test]
fn nobody_connects_in_a_cut() {
    let mut scene = Scene::start();
    let address = scene.proxy.address();
    scene.proxy.hold(Ways::There, None);
    let error = TcpStream::connect_timeout(&address, Duration::from_millis(200));
    let error = error.expect_err("no connection");
    assert_eq!(error.kind(), ErrorKind::TimedOut);
    scene.proxy.heal(Duration::ZERO);
    scene.speak_both_ways();
    let mut next = TcpStream::connect(address).expect("a connection");
    next.write_all(b"next").expect("sent");
    // Those that filled the queue may come before it, and say nothing.
    loop {
        let (mut far, _) = scene.listener.accept().expect("its continuation");
        let mut said = Vec::new();
        if far.read_exact(&mut [0; 1]).is_ok() {
            far.set_nonblocking(true).expect("set");
            let _ = far.read_to_end(&mut said);
            assert_eq!(said, b"ext");
            return;
        }
    }
}

/// As one whose first packet is lost until its caller has given up.
#[test]
fn connection_opened_in_a_cut_of_its_process_never_comes_up() {
    let scene = Scene::start();
    scene.proxy.hold(Ways::There, Some(std::process::id()));
    let mut late = TcpStream::connect(scene.proxy.address()).expect("a connection");
    late.write_all(b"lost").expect("sent");
    while scene.proxy.accepted() < 2 {
        std::thread::yield_now();
    }
    scene.proxy.heal(Duration::ZERO);
    let error = late.read(&mut [0]).expect_err("a reset");
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    // The next one to come through is another.
    let mut next = TcpStream::connect(scene.proxy.address()).expect("a connection");
    next.write_all(b"next").expect("sent");
    let (mut far, _) = scene.listener.accept().expect("its continuation");
    assert_eq!(read(&mut far, 4), b"next");
}

#[test]
fn cut_of_one_process_spares_the_others() {
    let mut scene = Scene::start();
    scene.proxy.hold(Ways::Both, Some(std::process::id()));
    scene.near.write_all(b"kept").expect("sent");
    assert_nothing_comes(&mut scene.far);
    scene.proxy.heal(Duration::ZERO);
    assert_eq!(read(&mut scene.far, 4), b"kept");
    // No process has this number.
    scene.proxy.hold(Ways::Both, Some(u32::MAX));
    scene.speak_both_ways();
}

#[test]
fn connection_that_is_silent_stays_so_and_others_work() {
    let mut scene = Scene::start();
    scene.proxy.silence();
    scene.near.write_all(b"lost").expect("sent");
    scene.proxy.reset();
    let mut next = TcpStream::connect(scene.proxy.address()).expect("a connection");
    next.write_all(b"next").expect("sent");
    let (mut far, _) = scene.listener.accept().expect("its continuation");
    assert_eq!(read(&mut far, 4), b"next");
    assert_nothing_comes(&mut scene.far);
    assert_nothing_comes(&mut scene.near);
}

#[test]
fn new_connections_follow_to_another_process() {
    let mut scene = Scene::start();
    let other = TcpListener::bind("127.0.0.1:0").expect("a port");
    scene
        .proxy
        .lead_to(other.local_addr().expect("its address"));
    scene.speak_both_ways();
    let mut next = TcpStream::connect(scene.proxy.address()).expect("a connection");
    next.write_all(b"next").expect("sent");
    let (mut far, _) = other.accept().expect("its continuation");
    assert_eq!(read(&mut far, 4), b"next");
}

#[test]
fn words_are_exchanged_both_ways() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let target = listener.local_addr().expect("its address");
    let any = "127.0.0.1:0".parse().expect("an address");
    let pairs = [("near", "far!"), ("long", "short")];
    let wording = Wording::new(pairs.map(|(near, far)| (near.to_owned(), far.to_owned())));
    let proxy = task::block_on(Proxy::start_at(any, target, wording)).expect("a proxy");
    let mut near = TcpStream::connect(proxy.address()).expect("a connection");
    let (mut far, _) = listener.accept().expect("its continuation");
    near.write_all(b"nnear near long").expect("sent");
    assert_eq!(read(&mut far, 15), b"nfar! far! long");
    far.write_all(b"far!far!").expect("sent");
    assert_eq!(read(&mut near, 8), b"nearnear");
}
