//! Test environment: a control shell with its peer server, and a core that is the
//! only member and leader of its group.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::TcpListener;
use async_std::task;
use k8s_openapi::apimachinery::pkg::apis::meta::v1::LabelSelector;
use threadledge::control_shell::{Clock, ControlShell, ControlShellSettings, serve_peers};
use threadledge::settings::{Limits, LogSettings, Settings};
use threadledge_control::{
    ConfigurationEvent, ControlNode, ControlSettings, GroupObjectState, GroupWriteResult, Input,
    Listing, ObjectRef, ObservedObject, Output,
};
use threadledge_net::{HttpClient, StopSignal};
use threadledge_object_api::TransportSettings;
use threadledge_types::objects::{
    BackEndObject, BackEndSpec, KeySource, KeyedServiceObject, KeyedServiceSpec, ObjectMeta,
    PlacementPolicy, Priority, RouteRule, object,
};
use threadledge_types::{
    BackEndId, Incarnation, MachineName, RegionName, RouterId, RouterIdentity, ServiceId,
    Timestamp, Timing, ZoneName,
};

/// Maximum wait. It is long because a busy machine may be slow.
const TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
pub const HOST: &str = "gallery.example";

/// A control shell with a running peer server.
pub struct World {
    pub shell: ControlShell,
    pub peer_address: SocketAddr,
    stop: StopSignal,
}

/// The platform that a world uses.
pub struct Platform {
    pub address: SocketAddr,
    pub transport: TransportSettings,
}

impl World {
    /// Starts a router whose platform refuses every connection.
    pub async fn start(timing: Timing) -> World {
        let platform = Platform {
            address: "127.0.0.1:1".parse().expect("an address"),
            transport: TransportSettings::default(),
        };
        World::start_with(timing, platform).await
    }

    pub async fn start_with(timing: Timing, platform: Platform) -> World {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let peer_address = listener.local_addr().expect("bound");
        let clock = Clock::start();
        let stop = StopSignal::new();
        let settings = settings(peer_address, platform.address, timing);
        let control = ControlSettings {
            timing: settings.timing.clone(),
            ..Default::default()
        };
        let shell = ControlShell::start(ControlShellSettings {
            node: ControlNode::new(control, identity(peer_address), clock.now()),
            settings,
            platform: platform.transport,
            clock,
            records: Box::new(|_| {}),
            stop: stop.clone(),
        });
        task::spawn(serve_peers(shell.clone(), listener, stop.clone()));
        World {
            shell,
            peer_address,
            stop,
        }
    }

    /// Sends a request to the peer address. Returns the status and body of the
    /// response.
    pub async fn send(&self, request: http::Request<Vec<u8>>) -> (u16, String) {
        let client = HttpClient::default();
        let answer = client.send(self.peer_address, request, TIMEOUT).await;
        let answer = answer.expect("an answer");
        let status = answer.status().as_u16();
        let body = String::from_utf8(answer.into_body()).expect("text");
        (status, body)
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.stop.stop();
    }
}

/// Waits until a condition holds.
pub async fn eventually(condition: impl Fn() -> bool) {
    let awaited = async {
        while !condition() {
            task::sleep(POLL_INTERVAL).await;
        }
    };
    timeout(TIMEOUT, awaited)
        .await
        .expect("the condition did not hold in time");
}

/// Returns the settings of a router without callers.
fn settings(peer_address: SocketAddr, platform_address: SocketAddr, timing: Timing) -> Settings {
    let unused = "127.0.0.1:1".parse().expect("an address");
    Settings {
        machine: MachineName("router-1".to_owned()),
        region: RegionName::from("luzon"),
        zone: ZoneName::from("luzon-a"),
        caller_address: unused,
        peer_address,
        operator_address: unused,
        platform_address,
        machine_list_address: unused,
        platform_token_file: None,
        group_size: 3,
        timing,
        limits: Limits::default(),
        log: LogSettings::default(),
    }
}

pub fn identity(peer_address: SocketAddr) -> RouterIdentity {
    RouterIdentity {
        id: RouterId(u64::from(peer_address.port())),
        machine: MachineName(format!("router-{}", peer_address.port())),
        incarnation: Incarnation(1),
        region: RegionName::from("luzon"),
        zone: ZoneName::from("luzon-a"),
        peer_address,
        caller_address: peer_address,
    }
}

/// Returns a core in virtual time that is the only member and leader of its
/// group and has accepted one service and one back end. The back end has not
/// responded yet.
pub fn leading_node() -> (ControlNode, Timestamp) {
    let mut now = Timestamp::from_millis(1_000);
    let address = "127.0.0.1:1".parse().expect("an address");
    let settings = ControlSettings {
        group_size: 1,
        ..Default::default()
    };
    let mut node = ControlNode::new(settings, identity(address), now);
    let reads_group = |output: &Output| matches!(output, Output::ReadGroupObject);
    while !node.step(now, Input::Tick).iter().any(reads_group) {
        now = now + Duration::from_millis(20);
    }
    let outputs = node.step(now, Input::GroupObject(GroupObjectState::Absent));
    let generation = outputs.iter().find_map(|output| match output {
        Output::WriteGroupObject { generation, .. } => Some(*generation),
        _ => None,
    });
    let founded = Input::GroupObjectWritten {
        generation: generation.expect("an absent group is founded"),
        result: GroupWriteResult::Written,
    };
    node.step(now, founded);
    for event in [
        ConfigurationEvent::BackEndsListed(listing(observed_back_end())),
        ConfigurationEvent::ServicesListed(listing(observed_service())),
    ] {
        node.step(now, Input::Configuration(Box::new(event)));
    }
    node.step(now, Input::Tick);
    (node, now)
}

fn listing<K>(object: ObservedObject<K>) -> Listing<K> {
    Listing {
        withheld: Vec::new(),
        objects: vec![object],
        resource_version: 10,
    }
}

fn observed_back_end() -> ObservedObject<BackEndObject> {
    let spec = BackEndSpec {
        address: "127.0.1.1:8000".parse().expect("an address"),
        control_address: "127.0.1.2:8000".parse().expect("an address"),
        zone: ZoneName::from("luzon-a"),
        slots: 2,
        connections: 20,
    };
    ObservedObject {
        object: ObjectRef::BackEnd(BackEndId::new("kasamahan", "gallery-1")),
        generation: 1,
        content: Ok(object::Object {
            types: None,
            metadata: metadata("gallery-1"),
            spec,
            status: None,
        }),
    }
}

fn observed_service() -> ObservedObject<KeyedServiceObject> {
    let spec = KeyedServiceSpec {
        region: RegionName::from("luzon"),
        hosts: vec![HOST.to_owned()],
        back_end_selector: LabelSelector {
            match_labels: Some([("app".to_owned(), "gallery".to_owned())].into()),
            match_expressions: None,
        },
        routes: vec![RouteRule {
            name: "browse".to_owned(),
            path_prefix: "/browse".to_owned(),
            methods: Vec::new(),
            key: KeySource::Header("member".to_owned()),
            repeatable: None,
            priority: Priority::Normal,
            deadline_ms: 1_000,
            may_queue: false,
        }],
        placement: PlacementPolicy::default(),
    };
    ObservedObject {
        object: ObjectRef::Service(ServiceId::new("kasamahan", "gallery")),
        generation: 1,
        content: Ok(object::Object {
            types: None,
            metadata: metadata("gallery"),
            spec,
            status: None,
        }),
    }
}

fn metadata(name: &str) -> ObjectMeta {
    ObjectMeta {
        namespace: Some("kasamahan".to_owned()),
        name: Some(name.to_owned()),
        uid: Some(format!("uid-{name}")),
        resource_version: Some("5".to_owned()),
        generation: Some(1),
        labels: Some([("app".to_owned(), "gallery".to_owned())].into()),
        ..Default::default()
    }
}
