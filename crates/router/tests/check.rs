//! Tests of the offline check of settings and object files.

use std::path::PathBuf;

use threadledge::check::{CheckProblemKind, check};

/// A temporary directory for one test, removed afterwards.
struct Directory(PathBuf);

impl Directory {
    fn new(name: &str) -> Self {
        let path =
            std::env::temp_dir().join(format!("threadledge-check-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).expect("the temporary directory is writable");
        Directory(path)
    }

    fn file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("the directory is writable");
        path
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn back_end(name: &str, address: &str, slots: u32) -> String {
    format!(
        "apiVersion: threadledge.dev/v1
kind: BackEnd
metadata: {{namespace: hearts, name: {name}, labels: {{app: gallery}}}}
spec:
  address: {address}
  controlAddress: 127.0.0.1:9{slots:03}
  zone: luzon-a
  slots: {slots}
  connections: 130
"
    )
}

fn examples() -> Vec<PathBuf> {
    let root = PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples"));
    let directories = std::fs::read_dir(root).expect("examples exist");
    let mut files: Vec<PathBuf> = directories
        .filter_map(|entry| std::fs::read_dir(entry.ok()?.path()).ok())
        .flatten()
        .filter_map(|entry| Some(entry.ok()?.path()))
        .filter(|path| {
            path.extension()
                .is_some_and(|extension| extension == "json")
        })
        .collect();
    files.sort();
    files
}

#[test]
fn examples_have_no_problem() {
    let files = examples();
    assert!(files.len() > 1);
    assert_eq!(check(&files), Vec::new());
}

#[test]
fn every_problem_of_every_document_is_listed() {
    let directory = Directory::new("documents");
    let text = [
        back_end("one", "somewhere:80", 2),
        back_end("two", "127.0.0.1:80", 3),
        "apiVersion: threadledge.dev/v1\nkind: Thing\n".to_owned(),
    ]
    .join("---\n");
    let file = directory.file("objects.yaml", &text);
    let problems = check(&[file]);
    assert_eq!(problems.len(), 2, "{problems:?}");
    let text = problems[0].to_string();
    assert!(text.contains("BackEnd hearts/one: spec.address"), "{text}");
    assert!(text.contains("write it as"), "{text}");
}

#[test]
fn objects_before_a_syntax_error_are_validated() {
    let directory = Directory::new("syntax");
    let text = format!("{}---\nkind: [\n", back_end("one", "somewhere:80", 2));
    let file = directory.file("objects.yml", &text);
    let problems = check(&[file]);
    assert_eq!(problems.len(), 2, "{problems:?}");
    assert!(matches!(problems[1].kind, CheckProblemKind::Syntax(_)));
    assert!(
        problems[1].location.contains("objects.yml:"),
        "{}",
        problems[1].location
    );
}

#[test]
fn conflicting_claims_are_found_across_files() {
    let directory = Directory::new("claims");
    let files = [
        directory.file("one.yaml", &back_end("one", "127.0.0.1:80", 2)),
        directory.file("two.yaml", &back_end("two", "127.0.0.1:80", 3)),
    ];
    let problems = check(&files);
    assert_eq!(problems.len(), 1, "{problems:?}");
    assert!(problems[0].location.ends_with("two.yaml"));
    assert!(problems[0].to_string().contains("belongs to hearts/one"));
}

#[test]
fn json_lists_are_read() {
    let directory = Directory::new("list");
    let text = r#"{"kind": "List", "items": [{"kind": "BackEnd"}, {"kind": "BackEnd"}]}"#;
    let problems = check(&[directory.file("list.json", text)]);
    assert_eq!(problems.len(), 2, "one for each object: {problems:?}");
}

#[test]
fn empty_and_unsupported_files_are_refused() {
    let directory = Directory::new("other");
    let files = [
        directory.file("empty.yaml", "---\n"),
        directory.file("notes.txt", "hello"),
        directory.0.join("absent.json"),
        directory.file("settings.toml", "machine = 4"),
    ];
    let problems = check(&files);
    assert!(matches!(problems[0].kind, CheckProblemKind::Empty));
    assert!(matches!(
        problems[1].kind,
        CheckProblemKind::UnknownExtension
    ));
    assert!(matches!(problems[2].kind, CheckProblemKind::Unreadable(_)));
    assert!(matches!(problems[3].kind, CheckProblemKind::Settings(_)));
}

#[test]
fn settings_of_a_gateway_are_recognised() {
    let directory = Directory::new("gateway");
    let valid = r#"
machine = "router-1"
zone = "zone-a"
[listen]
callers = "127.0.0.1:1"
readiness = "127.0.0.1:2"
[platform]
store = "127.0.0.1:3"
"#;
    let file = directory.file("gateway.toml", valid);
    assert!(check(&[file]).is_empty());
    let broken = format!("{valid}[ownership]\nhold-s = 30\n");
    let file = directory.file("broken.toml", &broken);
    let problems = check(&[file]);
    assert_eq!(problems.len(), 1);
    let CheckProblemKind::Gateway(message) = &problems[0].kind else {
        panic!("{problems:?}");
    };
    assert!(message.contains("ownership.hold-s is 30"), "{message}");
}
