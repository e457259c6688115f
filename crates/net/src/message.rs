//! Bodies in and out of messages without the content type that http-types
//! makes up.

use http_types::headers::CONTENT_TYPE;
use http_types::{Body, Headers, Request, Response};

/// A request or response.
pub trait Message: AsRef<Headers> + AsMut<Headers> {
    /// Puts `body` in and takes the one out that was there. http-types adds
    /// the new body's content type to a message that has none.
    fn swap_body(&mut self, body: Body) -> Body;

    /// Puts `body` in and leaves the headers as they are. Returns the body
    /// that was there.
    fn replace_body_keeping_headers(&mut self, body: Body) -> Body {
        if self.as_ref().get(CONTENT_TYPE).is_some() {
            return self.swap_body(body);
        }
        // One that stands already costs less than one made from the body.
        self.as_mut().insert(CONTENT_TYPE, "");
        let replaced = self.swap_body(body);
        self.as_mut().remove(CONTENT_TYPE);
        replaced
    }

    /// Takes the body out and leaves the headers as they are.
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
