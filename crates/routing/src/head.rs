//! Parts of the request head that routing decisions depend on.

/// Looks up request headers by name.
pub trait HeaderLookup {
    /// Returns the value of the header `name` (matched case-insensitively), or
    /// `None` when it is absent. For a repeated header the values may be joined
    /// with `, ` or the first one returned; this crate only reads headers that
    /// must not be repeated.
    fn header(&self, name: &str) -> Option<&str>;
}

impl HeaderLookup for [(&str, &str)] {
    fn header(&self, name: &str) -> Option<&str> {
        self.iter()
            .find(|(header, _)| header.eq_ignore_ascii_case(name))
            .map(|(_, value)| *value)
    }
}

impl<const COUNT: usize> HeaderLookup for [(&str, &str); COUNT] {
    fn header(&self, name: &str) -> Option<&str> {
        self.as_slice().header(name)
    }
}

/// Head of a caller's request.
#[derive(Clone, Copy)]
pub struct RequestHead<'a> {
    /// Method, in upper case as on the wire.
    pub method: &'a str,
    /// Value of the `Host` header, with or without a port.
    pub host: &'a str,
    /// Path, percent-encoded as on the wire, without the query.
    pub path: &'a str,
    /// Query without the `?`, percent-encoded as on the wire.
    pub query: Option<&'a str>,
    /// Request headers.
    pub headers: &'a dyn HeaderLookup,
    /// Whether the shell can send the body again: there is none, or it is
    /// buffered completely. A request whose body is streamed from the caller
    /// can be sent again only while nothing of it was sent.
    pub body_replayable: bool,
}
