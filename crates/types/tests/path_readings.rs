//! Tests of the readings of a path that a back end may use.

use threadledge_types::path_readings;

#[test]
fn path_without_encoded_bytes_dots_or_empty_segments_has_one_reading() {
    for path in ["/", "/a", "/a/b.c/", "/a/{id}", "/a|b'c", "/a..b/c"] {
        assert_eq!(path_readings(path), Vec::<String>::new(), "{path}");
    }
}

#[test]
fn reading_that_leads_elsewhere_is_found() {
    let cases = [
        ("/a/../b", "/b"),
        ("/a/./b", "/a/b"),
        ("/a/..", "/"),
        ("/../b", "/b"),
        ("/a/%2e%2E/b", "/b"),
        ("/a/.%2e/b", "/b"),
        ("/a//b", "/a/b"),
        ("//b/c", "/b/c"),
        // Dots are resolved first, then slashes are merged.
        ("/a//..//b", "/a/b"),
        ("/a%2Fb", "/a/b"),
        ("/a/..%2fb", "/b"),
        ("/a/..%5Cb", "/b"),
        ("/a\\..\\b", "/b"),
        ("/%61/b", "/a/b"),
        // Only the literal dots are resolved.
        ("/x/../a/%2e%2e/..", "/a/"),
        ("/a%/%zz/%2", "/a%/%zz/%2"),
        ("/a/%ff/../b", "/a/b"),
    ];
    for (path, expected) in cases {
        let mut readings = path_readings(path);
        readings.push(path.to_owned());
        assert!(
            readings.iter().any(|reading| reading == expected),
            "{path}: {readings:?}"
        );
    }
}
