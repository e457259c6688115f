//! Tests of settings from file and flags, their validation, and the reference in
//! the docs.

use std::path::{Path, PathBuf};

use threadledge::settings::keys::{KEYS, ValueKind};
use threadledge::settings::{
    Location, LogFormat, Override, Settings, SettingsError, SettingsProblem, load,
};

const COMPLETE: &str = r#"
machine = "router-1"
region = "luzon"
zone = "luzon-a"
caller-address = "127.0.0.1:8080"
peer-address = "127.0.0.1:8081"
operator-address = "127.0.0.1:8082"
platform-address = "127.0.0.1:9000"
machine-list-address = "127.0.0.1:9000"
"#;

/// A temporary settings file for one test, removed afterwards.
struct File(PathBuf);

impl File {
    fn new(name: &str, text: &str) -> Self {
        let file = format!("threadledge-settings-{}-{name}.toml", std::process::id());
        let path = std::env::temp_dir().join(file);
        std::fs::write(&path, text).expect("the temporary directory is writable");
        File(path)
    }

    fn load(&self, flags: &[(&'static str, &str)]) -> Result<Settings, SettingsError> {
        let overrides: Vec<Override> = flags
            .iter()
            .map(|(flag, value)| Override {
                flag,
                value: (*value).to_owned(),
            })
            .collect();
        load(Some(&self.0), &overrides)
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Returns the problems of a file with `extra` after the required keys.
fn problems_with(name: &str, extra: &str) -> Vec<SettingsProblem> {
    let file = File::new(name, &format!("{COMPLETE}{extra}"));
    let error = file.load(&[]).expect_err("refused");
    error
        .problems
        .into_iter()
        .map(|problem| problem.kind)
        .collect()
}

#[test]
fn complete_file_is_loaded_with_defaults() {
    let settings = File::new("complete", COMPLETE)
        .load(&[])
        .expect("valid settings");
    assert_eq!(settings.group_size, 3);
    assert_eq!(settings.timing.lease_ms, 2_000);
    assert_eq!(settings.limits.namespace_share, 0.6);
}

#[test]
fn settings_survive_a_round_trip() {
    let settings = File::new("round", COMPLETE)
        .load(&[])
        .expect("valid settings");
    let text = settings.to_toml().expect("TOML");
    let again = File::new("round-again", &text)
        .load(&[])
        .expect("valid settings");
    assert_eq!(settings, again);
}

#[test]
fn flags_override_the_file() {
    let file = File::new("override", COMPLETE);
    let flags = [
        ("zone", "luzon-b"),
        ("lease-ms", "3000"),
        ("log-format", "json"),
        ("namespace-share", "1"),
    ];
    let settings = file.load(&flags).expect("valid settings");
    assert_eq!(settings.zone.0, "luzon-b");
    assert_eq!(settings.timing.lease_ms, 3_000);
    assert_eq!(settings.log.format, LogFormat::Json);
    assert_eq!(settings.limits.namespace_share, 1.0);
}

#[test]
fn flags_alone_are_enough() {
    let flags: Vec<Override> = [
        ("machine", "router-1"),
        ("region", "luzon"),
        ("zone", "luzon-a"),
        ("caller-address", "127.0.0.1:8080"),
        ("peer-address", "127.0.0.1:8081"),
        ("operator-address", "127.0.0.1:8082"),
        ("platform-address", "127.0.0.1:9000"),
        ("machine-list-address", "127.0.0.1:9001"),
    ]
    .into_iter()
    .map(|(flag, value)| Override {
        flag,
        value: value.to_owned(),
    })
    .collect();
    assert!(load(None, &flags).is_ok());
    let error = load(None, &flags[1..]).expect_err("the machine is missing");
    assert_eq!(error.problems.len(), 1);
    assert!(error.to_string().contains("give --machine"), "{error}");
}

#[test]
fn every_problem_is_listed_with_its_line() {
    let text = "machine = 4\nregion = \"luzon\"\ncolour = 1\n\n[timing]\nlease_ms = 5\n";
    let file = File::new("lines", text);
    let problems = file.load(&[("zone", "a")]).expect_err("refused").problems;
    let lines: Vec<usize> = problems
        .iter()
        .filter_map(|problem| match &problem.location {
            Location::File {
                position: Some((line, _)),
                ..
            } => Some(*line),
            _ => None,
        })
        .collect();
    assert_eq!(lines, [1, 3, 6]);
    let missing = problems
        .iter()
        .filter(|problem| matches!(problem.kind, SettingsProblem::Missing { .. }))
        .count();
    assert_eq!(missing, 5);
}

#[test]
fn unknown_key_suggests_the_intended_key() {
    let problems = problems_with("meant", "[limits]\nlease_ms = 2000\n");
    assert_eq!(
        problems,
        [SettingsProblem::UnknownKey {
            key: "limits.lease_ms".to_owned(),
            remedy: "write 'timing.lease-ms'".to_owned(),
        }]
    );
}

#[test]
fn syntax_error_has_a_location() {
    let file = File::new("syntax", "machine = \nregion = \"a\"\n");
    let error = file.load(&[]).expect_err("refused");
    assert_eq!(error.problems.len(), 1);
    assert!(error.to_string().contains(".toml:1:"), "{error}");
}

#[test]
fn missing_file_is_reported_once() {
    let error = load(Some(Path::new("/nowhere/settings.toml")), &[]).expect_err("refused");
    assert!(matches!(
        error.problems.as_slice(),
        [problem] if matches!(problem.kind, SettingsProblem::Unreadable(_))
    ));
}

#[test]
fn contradictions_are_refused() {
    let cases = [
        ("lease", "[timing]\nlease-ms = 1499", "timing.lease-ms"),
        (
            "election",
            "[timing]\nelection-min-ms = 299",
            "timing.election-min-ms",
        ),
        (
            "span",
            "[timing]\nelection-max-ms = 400",
            "timing.election-max-ms",
        ),
        (
            "confirm",
            "[timing]\nconfirm-bound-ms = 900",
            "timing.confirm-bound-ms",
        ),
        (
            "drift",
            "[timing]\ndrift-percent = 51",
            "timing.drift-percent",
        ),
        ("zero", "[timing]\nheartbeat-ms = 0", "timing.heartbeat-ms"),
        ("group", "group-size = 4", "group-size"),
        (
            "share",
            "[limits]\nnamespace-share = 1.5",
            "limits.namespace-share",
        ),
        (
            "head",
            "[limits]\nmax-head-bytes = 10000",
            "limits.max-head-bytes",
        ),
        (
            "callers",
            "[limits]\nmax-caller-connections = 0",
            "limits.max-caller-connections",
        ),
    ];
    for (name, extra, key) in cases {
        let problems = problems_with(name, extra);
        let keys: Vec<_> = problems.iter().filter_map(SettingsProblem::key).collect();
        assert_eq!(keys, [key], "{problems:?}");
    }
}

#[test]
fn invalid_addresses_are_refused() {
    let cases = [
        ("host", "localhost:80", "host names are not looked up"),
        ("unspecified", "0.0.0.0:80", "others reach this machine"),
        ("port", "127.0.0.1:0", "has port 0"),
        ("equal", "127.0.0.1:8080", "give each its own port"),
    ];
    for (name, address, remedy) in cases {
        let file = File::new(name, COMPLETE);
        let error = file
            .load(&[("peer-address", address)])
            .expect_err("refused");
        assert!(error.to_string().contains(remedy), "{error}");
        assert_eq!(error.problems.len(), 1, "{error}");
    }
}

#[test]
fn invalid_words_and_numbers_are_refused() {
    let file = File::new("words", COMPLETE);
    for (flag, value) in [
        ("log-level", "loud"),
        ("lease-ms", "soon"),
        ("lease-ms", "-1"),
        ("namespace-share", "half"),
    ] {
        let error = file.load(&[(flag, value)]).expect_err("refused");
        assert_eq!(error.problems[0].location, Location::Flag(flag));
    }
}

#[test]
fn empty_name_of_the_token_file_is_refused() {
    let file = File::new("token", COMPLETE);
    let error = file
        .load(&[("platform-token-file", " ")])
        .expect_err("refused");
    let problem = &error.problems[0].kind;
    assert_eq!(problem.key(), Some("platform-token-file"));
}

#[test]
fn keys_match_the_settings() {
    let file = File::new("keys", COMPLETE);
    let optional = [("platform-token-file", "/etc/threadledge/token")];
    let settings = file.load(&optional).expect("valid settings");
    let table: toml::Table = toml::from_str(&settings.to_toml().expect("TOML")).expect("TOML");
    let mut paths = Vec::new();
    for (name, value) in &table {
        match value {
            toml::Value::Table(inner) => {
                paths.extend(inner.keys().map(|key| format!("{name}.{key}")));
            }
            _ => paths.push(name.clone()),
        }
    }
    paths.sort();
    let mut known: Vec<String> = KEYS.iter().map(|key| key.path()).collect();
    known.sort();
    assert_eq!(paths, known);
}

#[test]
fn reference_lists_every_key_with_its_default() {
    let settings = File::new("reference", COMPLETE)
        .load(&[])
        .expect("valid settings");
    let table: toml::Table = toml::from_str(&settings.to_toml().expect("TOML")).expect("TOML");
    let mut expected = String::new();
    for key in KEYS {
        let value = match key.table {
            "" => table.get(key.name),
            outer => table[outer].get(key.name),
        };
        let default = match value {
            Some(value) if !key.is_required() => format!("`{value}`"),
            None if !key.is_required() => "none".to_owned(),
            _ => "required".to_owned(),
        };
        let kind = match key.kind {
            ValueKind::Choice(words) => words.join(", "),
            kind => kind.placeholder().to_owned(),
        };
        expected.push_str(&format!(
            "| `{}` | `--{}` | {kind} | {default} | {} |\n",
            key.path(),
            key.flag,
            key.help
        ));
    }
    let page = include_str!("../../../docs/operators/settings.md");
    assert!(page.contains(&expected), "the table should be:\n{expected}");
}
