//! Messages between the simulated entry instances.

use nutmegcart_model::Incarnation;
use nutmegcart_request::Intent;
use nutmegcart_request::IntentReply;
use nutmegcart_request::OutcomeReport;
use nutmegcart_request::Resolution;

/// A message; `usize` is the index of its request or attempt in the simulation.
#[derive(Clone, Debug)]
pub enum Message {
    Forward(usize),
    Reply(usize, Resolution),
    Intent(Intent, usize),
    Recorded(IntentReply, usize),
    Report(OutcomeReport),
    Seal(usize, Incarnation),
    Sealed(usize, Option<Resolution>),
}

/// Returns the text for a message in a recorded session.
pub fn describe(message: &Message) -> String {
    match message {
        Message::Forward(_) => "forward".into(),
        Message::Reply(_, resolution) => format!("reply {}", resolution.code()),
        Message::Intent(..) => "intent".into(),
        Message::Recorded(IntentReply::Known(known), _) => format!("known {}", known.code()),
        Message::Recorded(reply, _) => format!("{reply:?}"),
        Message::Report(_) => "outcome".into(),
        Message::Seal(..) => "seal".into(),
        Message::Sealed(_, resolution) => {
            format!("sealed {:?}", resolution.as_ref().map(Resolution::code))
        }
    }
}

/// A message in the network with sender and receiver.
#[derive(Clone, Debug)]
pub struct Envelope {
    pub from: usize,
    pub to: usize,
    pub message: Message,
}
