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

/// Result of reading a request.
pub type Result<T> = std::result::Result<T, Code>;

/// Returns a request header as text.
pub fn header<'a>(request: &'a Request<Body>, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

/// Reads the whole body.
///
/// # Errors
///
/// Refuses a body above the limit, or one that ends early or too late.
pub fn read_body(request: &mut Request<Body>, limit: usize) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let mut reader = request.body_mut().take(limit as u64 + 1);
    reader
        .read_to_end(&mut bytes)
        .map_err(|error| body_fault(&error))?;
    if bytes.len() > limit {
        return Err(Code::BodyTooLarge);
    }
    Ok(bytes)
}

/// Returns the code for a request body that could not be read.
#[must_use]
pub fn body_fault(error: &io::Error) -> Code {
    match error.kind() {
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock => Code::BodyTooSlow,
        _ => Code::BadRequest,
    }
}

/// Returns an answer with status, content type and body.
///
/// # Panics
///
/// Panics if the status is not a valid HTTP status.
#[must_use]
pub fn answer(status: u16, kind: &str, body: impl Into<Vec<u8>>) -> Response<Body> {
    Response::builder()
        .status(status)
        .header("content-type", kind)
        .body(Body::from(body.into()))
        .expect("status and content type are valid")
}

/// Returns a JSON answer.
///
/// # Panics
///
/// Panics if the value cannot be represented as JSON.
#[must_use]
pub fn json(status: u16, value: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_vec(value).expect("answer is serialisable");
    answer(status, "application/json", body)
}

/// Returns the error answer of a code.
#[must_use]
pub fn error(code: Code, request: &str, detail: &str) -> Response<Body> {
    let body = json!({
        "code": format!("NC{}", code.number()),
        "verdict": code.verdict(),
        "message": code.text(),
        "detail": detail,
        "request": request,
    });
    json(code.status(), &body)
}

/// Keeps a value alive until the answer has been written to the caller.
#[must_use]
pub fn hold<T: Send + Sync + 'static>(mut response: Response<Body>, value: T) -> Response<Body> {
    // The server drops the response, and with it the extensions, after it has flushed the body.
    response.extensions_mut().insert(Arc::new(value));
    response
}
