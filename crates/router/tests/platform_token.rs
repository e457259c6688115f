//! Tests of loading a token file.

use std::path::PathBuf;

use threadledge::platform_token::{TokenError, read_token};

fn read(name: &str, content: &[u8]) -> Result<String, TokenError> {
    let file = format!("threadledge-token-{}-{name}", std::process::id());
    let path = std::env::temp_dir().join(file);
    std::fs::write(&path, content).expect("the temporary directory is writable");
    let read = read_token(&path);
    let _ = std::fs::remove_file(&path);
    read
}

#[test]
fn surrounding_white_space_is_removed() {
    let token = read("good", b" abc.DEF-123\n").expect("a token");
    assert_eq!(token, "abc.DEF-123");
}

#[test]
fn unusable_token_file_is_refused_without_its_content() {
    let missing = read_token(&PathBuf::from("/nowhere/token"));
    assert!(matches!(missing, Err(TokenError::Unreadable { .. })));
    assert!(matches!(read("empty", b" \n"), Err(TokenError::Empty(_))));
    for (name, content) in [
        ("two-lines", "secret\nsecret".as_bytes()),
        ("letter", "secr\u{e9}t".as_bytes()),
        ("long", [b's'; 5_000].as_slice()),
    ] {
        let refused = read(name, content).expect_err("refused");
        assert!(matches!(refused, TokenError::NotAToken(_)), "{name}");
        assert!(!refused.to_string().contains("sec"), "{refused}");
    }
}
