//! Tests of command-line parsing.

use threadledge::cli::{Command, OutputFormat, options};

fn parse(arguments: &[&str]) -> Result<Command, String> {
    options()
        .run_inner(arguments)
        .map_err(|failure| failure.unwrap_stderr())
}

#[test]
fn router_takes_a_file_and_a_flag_for_each_setting() {
    let arguments = [
        "router",
        "--settings",
        "router.toml",
        "--zone",
        "luzon-b",
        "--lease-ms=3000",
        "--namespace-share",
        "0.5",
    ];
    let Ok(Command::Router(router)) = parse(&arguments) else {
        panic!("the arguments were not parsed as expected");
    };
    let flags: Vec<&str> = router
        .overrides
        .iter()
        .map(|flag_override| flag_override.flag)
        .collect();
    assert_eq!(flags, ["zone", "lease-ms", "namespace-share"]);
    assert!(router.settings_file.is_some());
}

#[test]
fn explain_takes_headers_and_defaults_to_get() {
    let arguments = [
        "explain",
        "--operator",
        "127.0.0.1:8082",
        "--host",
        "gallery.example",
        "--path",
        "/near",
        "--header",
        "X-Member=ann=b",
        "--output",
        "json",
    ];
    let Ok(Command::Explain {
        request, output, ..
    }) = parse(&arguments)
    else {
        panic!("the arguments were not parsed as expected");
    };
    assert_eq!(request.method, "GET");
    assert_eq!(
        request.headers,
        [("x-member".to_owned(), "ann=b".to_owned())]
    );
    assert_eq!(output, OutputFormat::Json);
}

#[test]
fn wrong_arguments_are_refused_with_a_hint() {
    for (arguments, hint) in [
        (vec!["check"], "name at least one file"),
        (vec!["status"], "--operator"),
        (vec!["status", "--operator", "localhost:1"], "localhost:1"),
        (
            vec!["status", "--operator", "127.0.0.1:1", "--output", "xml"],
            "text or json",
        ),
        (vec!["router", "--lease", "3"], "--lease"),
    ] {
        let message = parse(&arguments).expect_err("refused");
        assert!(message.contains(hint), "{arguments:?}: {message}");
    }
}
