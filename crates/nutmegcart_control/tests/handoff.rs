//! Which instances take a cell over from an owner that does not reach the store.

use std::rc::Rc;
use std::time::Duration;

use nutmegcart_control::Node;
use nutmegcart_control::NodeSettings;
use nutmegcart_control::candidate::Candidate;
use nutmegcart_control::candidate::accepts_handoff;
use nutmegcart_control::candidate::may_acquire;
use nutmegcart_control::handoff::accept_handoff;
use nutmegcart_control::metrics::Metrics;
use nutmegcart_control::node::MemberRecord;
use nutmegcart_control::node::ReloadableSettings;
use nutmegcart_jobs::layout::CELL_SIZE;
use nutmegcart_jobs::layout::CellLayout;
use tokio::task::LocalSet;

mod support;

/// Returns an instance of a fleet with two cells and as many instances as given, whose store does not
/// answer.
fn node(instances: u16) -> Rc<Node> {
    let settings = NodeSettings {
        name: "entry-1".into(),
        peer: "127.0.0.1:1".parse().expect("an address"),
        cores: 0.25,
        lease: Duration::from_secs(2),
        reloadable: ReloadableSettings::default(),
    };
    let node = Node::new(settings, support::silent_platform(), Metrics::default(), 7);
    let machines = (0..2 * CELL_SIZE).map(|number| (format!("m-{number}").into(), "gates".into()));
    node.set_layout(CellLayout::divide(machines.collect()));
    for number in 1..=instances {
        let member = MemberRecord {
            peer: ([127, 0, 0, 1], number).into(),
            cores: 0.25,
        };
        let name = format!("entry-{number}").into();
        node.members.borrow_mut().insert(name, member);
    }
    node
}

/// Starts the handoff of cell 0, whose transaction is not answered, and returns the answer to the
/// handoff of cell 1 if there is one at once.
fn second_handoff(node: &Rc<Node>) -> Option<bool> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let both = async {
        let first = accept_handoff(node, 0, 1);
        let second = accept_handoff(node, 1, 1);
        let neither = async {
            // Both calls above are polled before this one.
            tokio::task::yield_now().await;
        };
        tokio::select! {
            biased;
            answer = first => panic!("the store does not answer: {answer}"),
            answer = second => Some(answer),
            () = neither => None,
        }
    };
    LocalSet::new().block_on(&runtime.expect("the runtime starts"), both)
}

/// Guards against an instance that takes over two cells at the same moment, because the owner of
/// both hands each to the first peer of its list.
#[test]
fn instance_that_takes_one_cell_over_declines_another() {
    assert_eq!(second_handoff(&node(3)), Some(false));
}

/// Guards against cells without an owner in a fleet with fewer instances than cells.
#[test]
fn instance_takes_two_cells_if_there_are_not_enough_instances() {
    assert_eq!(second_handoff(&node(2)), None);
}

/// Guards against an acquisition that counts for ever after its request was cancelled.
#[test]
fn cancelled_handoff_no_longer_counts() {
    let node = node(3);
    assert_eq!(second_handoff(&node), Some(false));
    assert_eq!(node.held_cells(), 0);
}

/// Guards against an instance that acquires all cells that lose their owner at the same moment.
#[test]
fn instance_that_is_about_to_own_a_cell_waits_again_for_another() {
    let node = node(3);
    let before = Candidate {
        owned: node.held_cells(),
        ..Candidate::default()
    };
    let views = node.views();
    let _first = views[0].begin_acquisition();
    let current = Candidate {
        owned: node.held_cells(),
        ..before
    };
    assert!(!may_acquire(&before, &current));
    assert!(may_acquire(&current, &current));
    assert!(accepts_handoff(&before, 2));
}
