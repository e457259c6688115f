//! Conversions between `http_types` (version 2, used by async-h1) and `http`
//! (version 1, used by the types of the object API). No other module converts
//! between the two.

use http_types::{Body, Method, Request, Url};

use crate::{status, target};

/// A message could not be converted between the two libraries.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum ConvertError {
    /// async-h1 does not support the method.
    #[error("method '{0}' is not supported; use a registered HTTP method")]
    Method(String),
    /// The target is not a path with an optional query.
    #[error("target '{0}' is not a path; write /path?query")]
    Target(String),
    /// A header value is not visible ASCII.
    #[error("value of header '{0}' is not ASCII; encode it")]
    HeaderValue(String),
    /// The status code is out of range.
    #[error("status {0} is not an HTTP status; use 100 to 599")]
    Status(u16),
}

/// Builds the request that async-h1 sends to `host`.
pub fn request_to_http_types(
    request: http::Request<Vec<u8>>,
    host: &str,
) -> Result<Request, ConvertError> {
    let (parts, body) = request.into_parts();
    let method = parts
        .method
        .as_str()
        .parse::<Method>()
        .map_err(|_| ConvertError::Method(parts.method.to_string()))?;
    let path_and_query = parts
        .uri
        .path_and_query()
        .map_or("/", |target| target.as_str());
    let url = Url::parse(&format!("http://{host}{path_and_query}"))
        .map_err(|_| ConvertError::Target(path_and_query.to_owned()))?;
    let mut converted = Request::new(method, url);
    target::set(&mut converted, path_and_query);
    for (name, value) in &parts.headers {
        let text = value
            .to_str()
            .map_err(|_| ConvertError::HeaderValue(name.to_string()))?;
        converted.append_header(name.as_str(), text);
    }
    if !body.is_empty() {
        converted.set_body(Body::from_bytes(body));
    }
    Ok(converted)
}

/// Builds an `http` response from a response head and its complete body.
pub fn response_to_http(
    response: &http_types::Response,
    body: Vec<u8>,
) -> Result<http::Response<Vec<u8>>, ConvertError> {
    let status = status::code(response);
    let mut converted = http::Response::new(body);
    *converted.status_mut() =
        http::StatusCode::from_u16(status).map_err(|_| ConvertError::Status(status))?;
    for (name, values) in response.iter() {
        for value in values.iter() {
            let name = http::HeaderName::from_bytes(name.as_str().as_bytes())
                .map_err(|_| ConvertError::HeaderValue(name.to_string()))?;
            let value = http::HeaderValue::from_str(value.as_str())
                .map_err(|_| ConvertError::HeaderValue(name.to_string()))?;
            converted.headers_mut().append(name, value);
        }
    }
    Ok(converted)
}
