//! Guards against messages that other versions cannot read, and against reporting a message as not
//! sent although the peer may have acted on it.

use std::io::Read;
use std::net::TcpListener;
use std::thread::spawn;
use std::time::Duration;

use nutmegcart_http::LocalExecutor;
use nutmegcart_model::Code;
use nutmegcart_model::Incarnation;
use nutmegcart_peer::DispatchError;
use nutmegcart_peer::ForwardMessage;
use nutmegcart_peer::Heartbeat;
use nutmegcart_peer::MessageDispatcher;
use nutmegcart_peer::OperationHeader;
use nutmegcart_peer::PeerCallError;
use nutmegcart_peer::PeerClient;
use nutmegcart_peer::PeerIdentity;
use nutmegcart_peer::SealMessage;
use nutmegcart_peer::message;
use nutmegcart_request::OperationId;
use nutmegcart_request::Resolution;
use nutmegcart_request::RosterVersion;
use nutmegcart_request::TicketOperationId;
use serde::Serialize;

fn sender() -> PeerIdentity {
    PeerIdentity {
        id: "e1".into(),
        incarnation: Incarnation(1),
        centre: "suva".into(),
        address: ([127, 0, 0, 1], 1).into(),
    }
}

fn seal() -> SealMessage {
    SealMessage {
        sender: sender(),
        roster: RosterVersion::default(),
        to: Incarnation(2),
        id: OperationId::Ticket(TicketOperationId {
            owner: Incarnation(1),
            serial: 7,
            number: 3,
        }),
        fingerprint: 9,
    }
}

#[test]
fn message_body_is_encoded_with_one_byte_per_byte() {
    let forward = |size| ForwardMessage {
        sender: sender(),
        roster: RosterVersion::default(),
        to: Incarnation(2),
        operation: OperationHeader::Key("k".into()),
        request_id: String::new(),
        caller: String::new(),
        method: "POST".into(),
        path: "gates".into(),
        headers: Vec::new(),
        body: vec![255; size].into(),
        remaining_ms: 100,
    };
    let (small, large) = (
        message::encode(&forward(1_000)),
        message::encode(&forward(2_000)),
    );
    assert_eq!(large.len() - small.len(), 1_000);
    assert_eq!(
        message::decode::<ForwardMessage>(&large).unwrap(),
        forward(2_000)
    );
}

#[test]
fn heartbeat_of_an_older_version_is_read() {
    #[derive(Serialize)]
    struct Older {
        sender: PeerIdentity,
        generation: u64,
        draining: bool,
    }
    let older = Older {
        sender: sender(),
        generation: 4,
        draining: true,
    };
    let heartbeat: Heartbeat = message::decode(&message::encode(&older)).unwrap();
    assert_eq!((heartbeat.generation.0, heartbeat.roster.epoch), (4, 0));
}

#[test]
fn dispatcher_answers_known_messages_and_refuses_others() {
    let dispatcher = MessageDispatcher::default().on(|code: &Code, seal: SealMessage| {
        (seal.to == Incarnation(2)).then(|| Resolution::from(*code))
    });
    let code = Code::OperationSealed;
    let body = message::encode(&seal());
    let answer = dispatcher.dispatch(&code, "seal", &body).unwrap();
    let answer: Option<Resolution> = message::decode(&answer).unwrap();
    assert_eq!(answer.map(|answer| answer.code()), Some(code));
    let unknown = dispatcher.dispatch(&code, "other", &body).unwrap_err();
    assert_eq!(
        unknown,
        DispatchError::UnknownPath {
            path: "other".into()
        }
    );
    let malformed = dispatcher.dispatch(&code, "seal", &body[1..]);
    assert!(matches!(malformed, Err(DispatchError::Malformed { .. })));
}

#[test]
fn refused_connection_is_not_sent_and_closed_connection_is_no_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let client = PeerClient::new(Duration::from_secs(30));
    let executor = LocalExecutor::start("calls", 1).unwrap();
    let call = || {
        let client = client.clone();
        let answer = executor.run(move || async move { client.call(address, &seal()).await });
        answer.unwrap()
    };
    let closing = spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut first = [0];
        stream.read_exact(&mut first).unwrap();
    });
    let error = call().unwrap_err();
    assert!(matches!(error, PeerCallError::NoAnswer { .. }), "{error}");
    closing.join().unwrap();
    let error = call().unwrap_err();
    assert!(matches!(error, PeerCallError::NotSent { .. }), "{error}");
}
