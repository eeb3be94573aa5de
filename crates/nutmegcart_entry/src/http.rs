//! Helpers for HTTP requests and answers.

use std::io;
use std::io::Read;
use std::sync::Arc;

use nutmegcart_model::Code;
use oxhttp::model::Body;
use oxhttp::model::Request;
use oxhttp::model::Response;
use serde::Serialize;
use serde_json::json;

/// Result of reading a request; the error is the code for the caller.
pub type Result<T> = std::result::Result<T, Code>;

/// Returns a request header as text.
pub fn header<'a>(request: &'a Request<Body>, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

/// Reads the whole body.
///
/// # Errors
///
/// Fails if the body exceeds the limit, is truncated or does not arrive in time.
pub fn read_body(request: &mut Request<Body>, limit: usize) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let mut reader = request.body_mut().take(limit as u64 + 1);
    reader
        .read_to_end(&mut bytes)
        .map_err(|error| body_error_code(&error))?;
    if bytes.len() > limit {
        return Err(Code::BodyTooLarge);
    }
    Ok(bytes)
}

/// Returns the code for a request body that could not be read.
#[must_use]
pub fn body_error_code(error: &io::Error) -> Code {
    match error.kind() {
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock => Code::BodyTooSlow,
        _ => Code::BadRequest,
    }
}

/// Builds a response.
///
/// # Panics
///
/// Panics if the status is not a valid HTTP status.
#[must_use]
pub fn response(status: u16, content_type: &str, body: impl Into<Vec<u8>>) -> Response<Body> {
    Response::builder()
        .status(status)
        .header("content-type", content_type)
        .body(Body::from(body.into()))
        .expect("status and content type are valid")
}

/// Builds a response with a JSON body.
///
/// # Panics
///
/// Panics if the value cannot be represented as JSON.
#[must_use]
pub fn json_response(status: u16, value: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_vec(value).expect("answer is serialisable");
    response(status, "application/json", body)
}

/// Builds the response for a code; `request` is the request's identifier, or empty.
#[must_use]
pub fn error_response(code: Code, request: &str, detail: &str) -> Response<Body> {
    let body = json!({
        "code": format!("NC{}", code.number()),
        "verdict": code.verdict(),
        "message": code.text(),
        "detail": detail,
        "request": request,
    });
    json_response(code.status(), &body)
}

/// Keeps a value alive until the response has been written to the caller.
#[must_use]
pub fn keep_until_written<T: Send + Sync + 'static>(
    mut response: Response<Body>,
    value: T,
) -> Response<Body> {
    // The server drops the response with its extensions after it has flushed the body.
    response.extensions_mut().insert(Arc::new(value));
    response
}
