//! Helpers for HTTP requests and answers.

use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use nutmegcart_http::BodyError;
use nutmegcart_http::body;
use nutmegcart_model::Code;
use serde::Serialize;
use serde_json::json;

/// Result of reading a request; the error is the code for the caller.
pub type Result<T> = std::result::Result<T, Code>;

/// Returns a request header as text.
pub fn header<'a, B>(request: &'a Request<B>, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

/// Reads the whole body of an operator's or a peer's request.
///
/// # Errors
///
/// Fails if the body exceeds the limit, is truncated or does not arrive within `time`.
pub async fn read_body(
    request: &mut Request<Incoming>,
    limit: usize,
    time: Duration,
) -> Result<Vec<u8>> {
    let body = body::read(request.body_mut(), limit, time, |_| true).await;
    body.map_err(body_error_code)
}

/// Returns the code for a request body that could not be read.
#[must_use]
pub fn body_error_code(error: BodyError) -> Code {
    match error {
        BodyError::Incomplete => Code::BadRequest,
        BodyError::Timeout => Code::BodyTooSlow,
        BodyError::TooLarge => Code::BodyTooLarge,
        BodyError::NoSpace => Code::MemoryLimit,
    }
}

/// Builds a response.
///
/// # Panics
///
/// Panics if the status is not a valid HTTP status.
#[must_use]
pub fn response(status: u16, content_type: &str, body: impl Into<Vec<u8>>) -> Response<Bytes> {
    Response::builder()
        .status(status)
        .header("content-type", content_type)
        .body(Bytes::from(body.into()))
        .expect("status and content type are valid")
}

/// Builds a response with a JSON body.
///
/// # Panics
///
/// Panics if the value cannot be represented as JSON.
#[must_use]
pub fn json_response(status: u16, value: &impl Serialize) -> Response<Bytes> {
    let body = serde_json::to_vec(value).expect("answer is serialisable");
    response(status, "application/json", body)
}

/// Builds the response for a code; `request` is the request's identifier, or empty.
#[must_use]
pub fn error_response(code: Code, request: &str, detail: &str) -> Response<Bytes> {
    let body = json!({
        "code": format!("NC{}", code.number()),
        "verdict": code.verdict(),
        "message": code.text(),
        "detail": detail,
        "request": request,
    });
    json_response(code.status(), &body)
}
