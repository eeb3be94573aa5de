//! Instances of several versions, and the form of the cell state that all of them read.

use std::rc::Rc;

use nutmegcart_control::Node;
use nutmegcart_control::member::MemberRecord;
use nutmegcart_control::metrics::Metrics;
use nutmegcart_jobs::record::STATE_FORMAT;

mod support;

fn node() -> Rc<Node> {
    let platform = support::silent_platform();
    Node::new(support::settings(), platform, Metrics::default(), 7)
}

fn insert(node: &Node, name: &str, state_format: u32) {
    let member = MemberRecord {
        peer: "127.0.0.1:2".parse().expect("an address"),
        cores: 0.25,
        state_format,
    };
    node.members.borrow_mut().insert(name.into(), member);
}

/// Guards against a form of the state that an instance of an earlier version would misread.
#[test]
fn earlier_version_decides_the_form_of_the_state() {
    let node = node();
    assert!(!node.members_read_state(), "no instance is known");
    insert(&node, "entry-1", STATE_FORMAT);
    assert!(node.members_read_state());
    insert(&node, "entry-2", 0);
    assert!(!node.members_read_state());
    insert(&node, "entry-2", STATE_FORMAT + 1);
    assert!(node.members_read_state());
}
