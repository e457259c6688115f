//! Replaces message bodies without adding the content type that http-types
//! infers from a body.

use http_types::headers::CONTENT_TYPE;
use http_types::{Body, Headers, Request, Response};

/// A request or response.
pub trait Message: AsRef<Headers> + AsMut<Headers> {
    /// Sets `body` and returns the previous body. http-types adds the content
    /// type of the new body to a message that has none.
    fn swap_body(&mut self, body: Body) -> Body;

    /// Sets `body` without changing the headers, and returns the previous body.
    fn replace_body_keeping_headers(&mut self, body: Body) -> Body {
        if self.as_ref().get(CONTENT_TYPE).is_some() {
            return self.swap_body(body);
        }
        // Inserting a placeholder is cheaper than the content type that
        // http-types would derive from the body.
        self.as_mut().insert(CONTENT_TYPE, "");
        let replaced = self.swap_body(body);
        self.as_mut().remove(CONTENT_TYPE);
        replaced
    }

    /// Removes and returns the body without changing the headers.
    fn take_body_keeping_headers(&mut self) -> Body {
        self.replace_body_keeping_headers(Body::empty())
    }
}

impl Message for Request {
    fn swap_body(&mut self, body: Body) -> Body {
        self.replace_body(body)
    }
}

impl Message for Response {
    fn swap_body(&mut self, body: Body) -> Body {
        self.replace_body(body)
    }
}
