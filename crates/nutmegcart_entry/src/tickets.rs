//! Issues tickets, which identify operations that run at most once.

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use nutmegcart_model::Code;
use nutmegcart_model::Incarnation;
use serde_json::json;

use crate::entry_instance::EntryInstance;
use crate::http;

/// Handles `POST /v1/tickets`.
pub fn issue<B>(entry: &EntryInstance, request: &Request<B>) -> Response<Bytes> {
    if request.method().as_str() != "POST" {
        return http::error_response(Code::NotFound, "", "tickets are issued by POST");
    }
    if !entry.is_ready() {
        return http::error_response(Code::ShuttingDown, "", "");
    }
    let random = Incarnation::random().0;
    let peers = entry.operations.peers();
    let witness = peers.choose_witness(&entry.settings.centre, random, entry.now());
    let ticket = entry
        .operations
        .with_coordinator(|coordinator| coordinator.issue_ticket(witness));
    http::json_response(200, &json!({ "ticket": ticket.to_string() }))
}
