//! The target of a request reaches the back end as its caller wrote it.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

use super::process::World;

/// Sends a request with this target as it stands and returns the answer.
fn send(callers: SocketAddr, target: &str, id: &str) -> String {
    let mut stream = TcpStream::connect(callers).expect("connected");
    let request = format!(
        "POST {target} HTTP/1.1\r\nhost: plain.example\r\nx-request-id: {id}\r\n\
         content-length: 0\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).expect("sent");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    answer
}

fn targets_of_runs(world: &World, id: &str) -> Vec<String> {
    let runs = world.plain.iter().flat_map(|each| each.runs());
    let own = runs.filter(|run| run.id == id);
    own.map(|run| run.target).collect()
}

#[test]
fn target_reaches_the_back_end_byte_for_byte() {
    let world = World::start();
    let targets = [
        "/unsafe/2f?name=O'Brien",
        "/unsafe/2f?a={b}|c&d=%7e",
        "/unsafe/a|b",
        "/unsafe/{id}",
        "/unsafe/a'b",
        "/unsafe//double",
        "/unsafe/a/./b",
        "/unsafe/a/../b",
        "/unsafe/%7Euser/%2e%2e/x",
        "/unsafe/a\\b",
        "/unsafe/a%2Fb?",
        "/unsafe/a?b/../c",
    ];
    for (number, target) in targets.into_iter().enumerate() {
        let id = format!("request-{number}");
        let answer = send(world.gateway.callers, target, &id);
        assert!(answer.starts_with("HTTP/1.1 200"), "{target}: {answer}");
        assert_eq!(targets_of_runs(&world, &id), [target]);
    }
}

#[test]
fn path_of_a_target_with_a_host_reaches_the_back_end() {
    let world = World::start();
    let target = "http://plain.example/unsafe/{id}?name=O'Brien";
    let answer = send(world.gateway.callers, target, "absolute");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let expected = ["/unsafe/{id}?name=O'Brien"];
    assert_eq!(targets_of_runs(&world, "absolute"), expected);
}

#[test]
fn path_that_leads_out_of_its_route_is_refused_with_the_reason() {
    let world = World::start();
    for target in [
        "/unsafe/../safe/x",
        "/unsafe/%2e%2e/safe/x",
        "/unsafe/..%2Fsafe/x",
        "/unsafe/../../x",
    ] {
        let answer = send(world.gateway.callers, target, "outside");
        assert!(answer.starts_with("HTTP/1.1 400"), "{target}: {answer}");
        assert!(answer.contains("ambiguous-path"), "{target}: {answer}");
    }
    assert_eq!(targets_of_runs(&world, "outside"), Vec::<String>::new());
}
