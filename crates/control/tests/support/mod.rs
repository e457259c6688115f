//! A single router that bootstraps its group, and objects to configure it.

use std::time::Duration;

use k8s_openapi::apimachinery::pkg::apis::meta::v1::LabelSelector;
use threadledge_control::{
    ConfigurationEvent, ControlNode, ControlSettings, GroupObjectState, GroupWriteResult, Input,
    ObjectRef, ObservedObject, Output, StatusWrite,
};
use threadledge_types::objects::{
    BackEndObject, BackEndSpec, KeySource, KeyedServiceObject, KeyedServiceSpec, ObjectMeta,
    PlacementPolicy, Priority, RouteRule, object,
};
use threadledge_types::{
    BackEndId, Incarnation, MachineName, RegionName, RouterId, RouterIdentity, ServiceId,
    Timestamp, ZoneName,
};

pub const REGION: &str = "region-0";

/// A router that leads a group of which it is the only member.
pub struct SingleRouter {
    pub node: ControlNode,
    pub now: Timestamp,
}

impl SingleRouter {
    /// Creates the router and bootstraps the group.
    pub fn bootstrap() -> Self {
        let now = Timestamp::from_millis(1_000);
        let settings = ControlSettings {
            group_size: 1,
            ..Default::default()
        };
        let mut router = SingleRouter {
            node: ControlNode::new(settings, identity(1), now),
            now,
        };
        let asked = router.run_until(|output| matches!(output, Output::ReadGroupObject));
        assert!(asked, "the router never asked for its group");
        let outputs = router.step(Input::GroupObject(GroupObjectState::Absent));
        let generation = outputs.iter().find_map(|output| match output {
            Output::WriteGroupObject { generation, .. } => Some(*generation),
            _ => None,
        });
        let generation = generation.expect("an absent group is founded");
        let result = GroupWriteResult::Written;
        router.step(Input::GroupObjectWritten { generation, result });
        router
    }

    pub fn step(&mut self, input: Input) -> Vec<Output> {
        self.node.step(self.now, input)
    }

    /// Ticks until an output matches, for two seconds at most.
    pub fn run_until(&mut self, wanted: impl Fn(&Output) -> bool) -> bool {
        for _ in 0..100 {
            self.now = self.now + Duration::from_millis(20);
            if self.step(Input::Tick).iter().any(&wanted) {
                return true;
            }
        }
        false
    }

    /// Handles one event and returns the statuses written in response.
    pub fn configure(&mut self, event: ConfigurationEvent) -> Vec<StatusWrite> {
        let outputs = self.step(Input::Configuration(Box::new(event)));
        statuses(outputs)
    }
}

pub fn statuses(outputs: Vec<Output>) -> Vec<StatusWrite> {
    let writes = outputs.into_iter().filter_map(|output| match output {
        Output::WriteStatus(write) => Some(write),
        _ => None,
    });
    writes.collect()
}

pub fn identity(number: u64) -> RouterIdentity {
    let address = format!("127.0.0.{number}:9000")
        .parse()
        .expect("an address");
    RouterIdentity {
        id: RouterId(number),
        machine: MachineName(format!("router-{number}")),
        incarnation: Incarnation(1),
        region: RegionName::from(REGION),
        zone: ZoneName::from("zone-0"),
        peer_address: address,
        caller_address: address,
    }
}

/// Version and generation of an object.
#[derive(Clone, Copy)]
pub struct ObjectVersion {
    pub version: u64,
    pub generation: i64,
}

pub fn object_version(version: u64, generation: i64) -> ObjectVersion {
    ObjectVersion {
        version,
        generation,
    }
}

pub fn back_end(
    namespace: &str,
    name: &str,
    port: u16,
    object_version: ObjectVersion,
) -> BackEndObject {
    object::Object {
        types: None,
        metadata: metadata(namespace, name, object_version),
        spec: BackEndSpec {
            address: format!("127.0.1.1:{port}").parse().expect("an address"),
            control_address: format!("127.0.1.2:{port}").parse().expect("an address"),
            zone: ZoneName::from("zone-0"),
            slots: 2,
            connections: 20,
        },
        status: None,
    }
}

pub fn service(
    namespace: &str,
    name: &str,
    host: &str,
    object_version: ObjectVersion,
) -> KeyedServiceObject {
    object::Object {
        types: None,
        metadata: metadata(namespace, name, object_version),
        spec: KeyedServiceSpec {
            region: RegionName::from(REGION),
            hosts: vec![host.to_owned()],
            back_end_selector: LabelSelector {
                match_labels: Some([("app".to_owned(), "a".to_owned())].into()),
                match_expressions: None,
            },
            routes: vec![RouteRule {
                name: "all".to_owned(),
                path_prefix: "/".to_owned(),
                methods: Vec::new(),
                key: KeySource::PathSegment(0),
                repeatable: None,
                priority: Priority::Normal,
                deadline_ms: 1_000,
                may_queue: false,
            }],
            placement: PlacementPolicy::default(),
        },
        status: None,
    }
}

fn metadata(namespace: &str, name: &str, object_version: ObjectVersion) -> ObjectMeta {
    ObjectMeta {
        namespace: Some(namespace.to_owned()),
        name: Some(name.to_owned()),
        uid: Some(format!("uid-{namespace}-{name}")),
        resource_version: Some(object_version.version.to_string()),
        generation: Some(object_version.generation),
        labels: Some([("app".to_owned(), "a".to_owned())].into()),
        ..Default::default()
    }
}

pub fn observed_back_end(object: BackEndObject) -> ObservedObject<BackEndObject> {
    let metadata = object.metadata.clone();
    ObservedObject {
        object: ObjectRef::BackEnd(BackEndId::new(
            metadata.namespace.unwrap_or_default(),
            metadata.name.unwrap_or_default(),
        )),
        generation: metadata.generation.unwrap_or_default(),
        content: Ok(object),
    }
}

pub fn observed_service(object: KeyedServiceObject) -> ObservedObject<KeyedServiceObject> {
    let metadata = object.metadata.clone();
    ObservedObject {
        object: ObjectRef::Service(ServiceId::new(
            metadata.namespace.unwrap_or_default(),
            metadata.name.unwrap_or_default(),
        )),
        generation: metadata.generation.unwrap_or_default(),
        content: Ok(object),
    }
}
