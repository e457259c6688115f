//! A small JSON reader: values keep their source text, so that what a caller
//! wrote can be returned unchanged.

/// Returns the end of the JSON value that starts at `at`.
fn value_end(text: &[u8], mut at: usize) -> Option<usize> {
    match text.get(at)? {
        b'"' => {
            at += 1;
            loop {
                match text.get(at)? {
                    b'\\' => at += 2,
                    b'"' => return Some(at + 1),
                    _ => at += 1,
                }
            }
        }
        b'{' | b'[' => {
            let mut depth = 0;
            loop {
                match text.get(at)? {
                    b'"' => {
                        at = value_end(text, at)?;
                        continue;
                    }
                    b'{' | b'[' => depth += 1,
                    b'}' | b']' => {
                        depth -= 1;
                        if depth == 0 {
                            return Some(at + 1);
                        }
                    }
                    _ => {}
                }
                at += 1;
            }
        }
        _ => {
            while at < text.len() && !matches!(text[at], b',' | b'}' | b']' | b' ' | b'\n') {
                at += 1;
            }
            Some(at)
        }
    }
}

fn skip_blanks(text: &[u8], mut at: usize) -> usize {
    while at < text.len() && text[at].is_ascii_whitespace() {
        at += 1;
    }
    at
}

/// Returns the source text of a member of a JSON object.
pub fn member<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    let text = object.as_bytes();
    let mut at = skip_blanks(text, 0);
    if text.get(at)? != &b'{' {
        return None;
    }
    at += 1;
    loop {
        at = skip_blanks(text, at);
        if text.get(at)? != &b'"' {
            return None;
        }
        let end = value_end(text, at)?;
        let key = &object[at + 1..end - 1];
        at = skip_blanks(text, end);
        if text.get(at)? != &b':' {
            return None;
        }
        at = skip_blanks(text, at + 1);
        let end = value_end(text, at)?;
        if key == name {
            return Some(&object[at..end]);
        }
        at = skip_blanks(text, end);
        if text.get(at)? != &b',' {
            return None;
        }
        at += 1;
    }
}

/// Returns a member that is a number.
pub fn number(object: &str, name: &str) -> Option<f64> {
    member(object, name)?.parse().ok()
}

/// Returns a member that is a plain string.
pub fn string<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    let text = member(object, name)?;
    text.strip_prefix('"')?.strip_suffix('"')
}
