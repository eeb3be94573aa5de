//! What an instance answers to other instances: malformed requests, and questions to an owner whose
//! lease may have ended.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use nutmegcart_control::Node;
use nutmegcart_control::NodeSettings;
use nutmegcart_control::clock::now;
use nutmegcart_control::job_service::JobService;
use nutmegcart_control::metrics::Metrics;
use nutmegcart_control::node::OwnedCell;
use nutmegcart_control::node::OwnershipState;
use nutmegcart_control::owner_log::OwnerLog;
use nutmegcart_control::peer;
use nutmegcart_control::peer::PeerRequest;
use nutmegcart_control::peer::PeerResponse;
use nutmegcart_control::peer::answer_from_memory;
use nutmegcart_jobs::JobId;
use nutmegcart_jobs::QueueKey;
use nutmegcart_jobs::Scheduler;
use nutmegcart_jobs::layout::CellLayout;
use nutmegcart_jobs::limit_moves::LimitRequest;
use nutmegcart_jobs::limit_moves::StoredAllocations;
use tokio::sync::Notify;
use tokio::task::LocalSet;

mod support;

const LIMIT: Duration = Duration::from_secs(5);

fn node(address: SocketAddr) -> Rc<Node> {
    let settings = NodeSettings {
        name: "entry-1".into(),
        peer: address,
        ..support::settings()
    };
    let platform = support::silent_platform();
    let node = Node::new(settings, platform, Metrics::default(), 7);
    node.set_layout(CellLayout::default());
    node
}

fn questions(cell: u32) -> Vec<PeerRequest> {
    let id = JobId::parse("00000000000000aa").expect("sixteen digits");
    vec![
        PeerRequest::State(cell, id),
        PeerRequest::LongRunning(cell),
        PeerRequest::Waiting(cell, QueueKey::default()),
        PeerRequest::Load(cell),
        PeerRequest::Status(cell),
        PeerRequest::HasEnded(cell, u64::MAX, "entry-2".into(), u64::MAX),
        PeerRequest::LimitUse(cell, vec!["ferries".into()]),
        PeerRequest::Organisations(cell),
        PeerRequest::Limit(
            cell,
            LimitRequest {
                organisation: "ferries".into(),
                cell: u32::MAX,
                wanted: u32::MAX,
                since_ms: u64::MAX,
                known: StoredAllocations::equal(3),
            },
        ),
    ]
}

/// Returns bodies that no instance sends: without a request, cut off at each byte, followed by more,
/// with each byte replaced, and about a cell that does not exist.
fn malformed_bodies() -> Vec<Vec<u8>> {
    let encode = |request: &PeerRequest| rmp_serde::to_vec(request).expect("it encodes");
    let mut bodies = vec![Vec::new(), vec![0xc1; 64], vec![0x91; 4_096]];
    for request in questions(0) {
        let whole = encode(&request);
        bodies.extend((1..whole.len()).map(|length| whole[..length].to_vec()));
        bodies.push([whole.as_slice(), b"more"].concat());
        bodies.extend((0..whole.len()).map(|index| {
            let mut changed = whole.clone();
            changed[index] = 0xdf;
            changed
        }));
    }
    bodies.extend(questions(u32::MAX).iter().map(encode));
    bodies
}

/// Guards against a request of a peer that ends the process, or a server that answers no longer.
#[test]
fn malformed_requests_of_peers_leave_the_instance_answering() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let node = node(address);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    LocalSet::new().block_on(&runtime.expect("the runtime starts"), async {
        let served = peer::serve(node.clone(), JobService::default(), address);
        tokio::task::spawn_local(served);
        let valid = &questions(0)[0];
        while peer::send(&node, address, valid, LIMIT).await != Ok(PeerResponse::NotOwner) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        for body in malformed_bodies() {
            let host = address.to_string();
            let headers = [("host", &*host)];
            let bytes = Bytes::from(body.clone());
            let request = nutmegcart_http::request("POST", "/v1/cell/ask", &headers, bytes);
            let answer = node.client.call(address, request, LIMIT).await;
            let status = answer.expect("an answer").status().as_u16();
            assert!(matches!(status, 200 | 400), "{status} to {body:?}");
        }
        let answer = peer::send(&node, address, valid, LIMIT).await;
        assert_eq!(answer, Ok(PeerResponse::NotOwner));
    });
}

/// Guards against an owner that was paused and answers from its memory after its lease may have
/// ended, while a successor decides about the same jobs.
#[test]
fn owner_past_its_validity_answers_no_questions() {
    let node = node(([127, 0, 0, 1], 1).into());
    let view = node.views()[0].clone();
    let settings = node.reloadable.get().jobs;
    let owned = Rc::new(OwnedCell {
        view: view.clone(),
        scheduler: RefCell::new(Scheduler::new(settings, 1, now())),
        fence: 1,
        lease: 1,
        renewed_at: Cell::new(Duration::ZERO),
        log: OwnerLog::default(),
        state: OwnershipState::default(),
        pass_wanted: Notify::new(),
        write_wanted: Notify::new(),
        ended: Notify::new(),
    });
    owned.state.loaded.set(true);
    *view.owned.borrow_mut() = Some(owned.clone());
    let validity = node.owner_validity();
    let pause = Duration::from_millis(1);
    assert!(owned.may_act_at(validity, validity.saturating_sub(pause)));
    assert!(!owned.may_act_at(validity, validity + pause));
    owned.renewed_at.set(now());
    for question in &questions(0)[..5] {
        let answer = answer_from_memory(&node, question);
        assert_ne!(answer, PeerResponse::NotOwner, "{question:?}");
    }
    // The latest renewal is as long ago as after a pause for the whole validity.
    let mut paused = node.reloadable.get();
    paused.jobs.owner_validity = Duration::ZERO;
    node.apply_settings(paused);
    for question in &questions(0)[..5] {
        let answer = answer_from_memory(&node, question);
        assert_eq!(answer, PeerResponse::NotOwner, "{question:?}");
    }
}
