//! Measures the cost of the proxy.
//!
//! Each role runs as a separate process, so that the CPU time of each can be
//! measured separately:
//!
//! ```text
//! proxy_cost back-end 127.0.0.1:7001
//! proxy_cost proxy 127.0.0.1:7002 127.0.0.1:7001
//! proxy_cost net 127.0.0.1:7003        answers without a back end, with threadledge-net
//! proxy_cost async-h1 127.0.0.1:7004   answers without a back end, with async-h1 alone
//! proxy_cost load 127.0.0.1:7002 CONNECTIONS REQUESTS
//! ```
//!
//! `load` prints one line with requests per second and latencies in
//! microseconds. `ASYNC_STD_THREAD_COUNT=1` limits a role to one thread besides
//! the reactor's.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use http_types::{Request, Response};
use threadledge::proxy::{Clock, Observer, ProxyHandle, ProxySettings};
use threadledge_net::{ConnectionInfo, ServerLimits, StopSignal, serve};
use threadledge_types::objects::{
    BackEndSpec, KeySource, KeyedServiceSpec, PlacementPolicy, Priority, RouteRule,
};
use threadledge_types::records::{
    BackEndRecord, RecordChange, RecordDelta, ServiceRecord, SessionRecord, SliceRecord,
};
use threadledge_types::{
    BackEndId, Epoch, Generation, GroupId, Incarnation, RegionName, Revision, ServiceId, SessionId,
    Slice, ZoneName,
};

const REQUEST: &[u8] = b"GET /profiles/oak?key=7 HTTP/1.1\r\nhost: s.test\r\naccept: */*\r\n\
    user-agent: load\r\nidempotency-key: \"8e03978e\"\r\n\r\n";
const BODY: &str = "{\"profile\":\"oak\",\"millimetres\":92,\"glazing\":\"double\"}";
const END_OF_HEAD: &[u8] = b"\r\n\r\n";

type Failure = Box<dyn std::error::Error>;

fn main() -> Result<(), Failure> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["back-end", address] => back_end(address.parse()?),
        ["proxy", address, back_end] => proxy(address.parse()?, back_end.parse()?),
        ["net", address] => net(address.parse()?),
        ["async-h1", address] => async_h1_alone(address.parse()?),
        ["load", address, connections, requests] => {
            load(address.parse()?, connections.parse()?, requests.parse()?)
        }
        _ => Err("name a role: back-end, proxy, net, async-h1 or load".into()),
    }
}

/// Answers with as little work as possible, on one thread per connection.
fn back_end(address: SocketAddr) -> Result<(), Failure> {
    let length = BODY.len();
    let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{BODY}");
    for stream in TcpListener::bind(address)?.incoming() {
        let mut stream = stream?;
        stream.set_nodelay(true)?;
        let answer = answer.clone();
        std::thread::spawn(move || {
            let mut buffer = [0; 4096];
            let mut received = 0;
            while let Ok(count @ 1..) = stream.read(&mut buffer[received..]) {
                received += count;
                if buffer[..received].ends_with(END_OF_HEAD) {
                    received = 0;
                    if stream.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            }
        });
    }
    Ok(())
}

fn proxy(address: SocketAddr, back_end: SocketAddr) -> Result<(), Failure> {
    async_std::task::block_on(async {
        let listener = async_std::net::TcpListener::bind(address).await?;
        let mut settings = ProxySettings::with_seed(7);
        settings.routing.slot_overcommit_percent = 10_000;
        let proxy = ProxyHandle::start(
            settings,
            Clock::start(),
            listener,
            StopSignal::new(),
            Observer::none(),
        );
        proxy.handle.apply(&records(back_end))?;
        proxy.handle.set_ready(true);
        proxy.served.await;
        Ok(())
    })
}

async fn answer(_request: Request, _connection: ConnectionInfo) -> Response {
    let mut response = Response::new(200);
    response.set_body(BODY);
    response
}

fn net(address: SocketAddr) -> Result<(), Failure> {
    async_std::task::block_on(async {
        let listener = async_std::net::TcpListener::bind(address).await?;
        serve(listener, ServerLimits::default(), StopSignal::new(), answer).await;
        Ok(())
    })
}

fn async_h1_alone(address: SocketAddr) -> Result<(), Failure> {
    async_std::task::block_on(async {
        let listener = async_std::net::TcpListener::bind(address).await?;
        loop {
            let (stream, _) = listener.accept().await?;
            stream.set_nodelay(true)?;
            async_std::task::spawn(async_h1::accept(stream, |_request| async {
                let mut response = Response::new(200);
                response.set_body(BODY);
                Ok(response)
            }));
        }
    })
}

/// Sends `requests` in total over `connections`. Each connection waits for the
/// response before it sends the next request.
fn load(address: SocketAddr, connections: usize, requests: usize) -> Result<(), Failure> {
    let started = Instant::now();
    let threads: Vec<_> = (0..connections)
        .map(|_| std::thread::spawn(move || run_connection(address, requests / connections)))
        .collect();
    let mut latencies = Vec::with_capacity(requests);
    for thread in threads {
        let measured = thread.join().map_err(|_| "a connection thread panicked")?;
        latencies.extend(measured.map_err(|error| error.to_string())?);
    }
    let elapsed = started.elapsed();
    latencies.sort_unstable();
    let at = |share: f64| latencies[((latencies.len() - 1) as f64 * share) as usize].as_micros();
    println!(
        "connections {connections} requests {} per_second {:.0} p50_us {} p99_us {} max_us {}",
        latencies.len(),
        latencies.len() as f64 / elapsed.as_secs_f64(),
        at(0.5),
        at(0.99),
        at(1.0),
    );
    Ok(())
}

/// Sends requests over one connection and returns their latencies.
fn run_connection(address: SocketAddr, requests: usize) -> std::io::Result<Vec<Duration>> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    let mut latencies = Vec::with_capacity(requests);
    let mut buffer = vec![0; 4096];
    for _ in 0..requests {
        let sent = Instant::now();
        stream.write_all(REQUEST)?;
        let mut received = 0;
        while !buffer[..received].ends_with(BODY.as_bytes()) {
            let count = stream.read(&mut buffer[received..])?;
            if count == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            received += count;
        }
        assert!(buffer.starts_with(b"HTTP/1.1 200"), "not answered");
        latencies.push(sent.elapsed());
    }
    Ok(latencies)
}

fn records(address: SocketAddr) -> RecordDelta {
    let service = ServiceId::new("kauri", "quote-svc");
    let session = SessionId {
        back_end: BackEndId::new("kauri", "quote-1"),
        incarnation: Incarnation(1),
    };
    let revision = Revision::new(Generation(1), 1);
    let route = RouteRule {
        name: "profiles".to_owned(),
        path_prefix: "/profiles".to_owned(),
        methods: Vec::new(),
        key: KeySource::QueryParameter("key".to_owned()),
        repeatable: None,
        priority: Priority::Normal,
        deadline_ms: 2_000,
        may_queue: true,
    };
    RecordDelta {
        group: GroupId(0),
        from: Revision::NONE,
        to: revision,
        full: true,
        changes: vec![
            RecordChange::Service(Box::new(ServiceRecord {
                id: service.clone(),
                spec: KeyedServiceSpec {
                    region: RegionName::from("nz-north"),
                    hosts: vec!["s.test".to_owned()],
                    back_end_selector: Default::default(),
                    routes: vec![route],
                    placement: PlacementPolicy::default(),
                },
                resource_version: 1,
                object_generation: 1,
            })),
            RecordChange::BackEnd(Box::new(BackEndRecord {
                id: session.back_end.clone(),
                labels: BTreeMap::new(),
                spec: BackEndSpec {
                    address,
                    control_address: address,
                    zone: ZoneName::from("a"),
                    slots: 256,
                    connections: 1_000,
                },
                resource_version: 1,
                object_generation: 1,
            })),
            RecordChange::Session(SessionRecord {
                id: session.clone(),
                draining: false,
            }),
            RecordChange::Slice(SliceRecord {
                service,
                slice: Slice::ALL,
                owner: Some(session),
                epoch: Epoch(revision),
                next: None,
            }),
        ],
    }
}
