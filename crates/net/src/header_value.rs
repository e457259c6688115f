//! Texts that a header can carry.

/// Returns whether every reader receives `text` unchanged if it is sent as the
/// value of a header: visible ASCII characters, and blanks between them.
pub fn is_header_value(text: &str) -> bool {
    let is_carried = |byte: u8| byte == b' ' || byte.is_ascii_graphic();
    !text.is_empty() && text.trim_matches(' ') == text && text.bytes().all(is_carried)
}
