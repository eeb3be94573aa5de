//! Snapshot tests of the messages between entry instances when some of them fail or leave.

mod operation_model;

use std::time::Duration;

use insta::assert_snapshot;
use nutmegcart_model::CallerName;
use nutmegcart_request::OperationId;
use nutmegcart_request::RequestedOperation;
use nutmegcart_request::ledger::LedgerLimits;
use nutmegcart_request::roster::TAKEOVER_BARRIER;

use crate::operation_model::STORE_LEASE_TTL;
use crate::operation_model::World;

fn world() -> World {
    let mut world = World::new(4, 4, LedgerLimits::default());
    world.trace = Some(Vec::new());
    world
}

fn note(world: &mut World, text: &str) {
    world.note(|| format!("# {text}"));
}

fn request(world: &mut World, entry: usize, operation: &RequestedOperation) {
    let request = world.request(entry, operation, 1);
    world.settle();
    if world.reply(request).is_none() {
        note(world, "no answer from the owner");
        world.time_out(request);
        world.settle();
    }
    if world.reply(request).is_none() {
        note(world, "no answer from the witness");
        world.time_out(request);
    }
}

fn remove(world: &mut World, node: usize) {
    world.now += STORE_LEASE_TTL + Duration::from_secs(1);
    world.remove(1, node);
    (0..4).for_each(|node| world.sync(node));
    let epoch = world.roster.version.epoch;
    world.note(|| format!("# e{node} removed, epoch {epoch}"));
}

/// Returns a key with owner e0 and witness e2.
fn find_key(world: &World) -> RequestedOperation {
    let keys =
        (0..10_000).map(|number| OperationId::key(&CallerName::from("c"), &number.to_string()));
    let wanted = |id: &OperationId| {
        let OperationId::Key(key) = id else {
            return false;
        };
        let pair = world.roster.pair(key).unwrap();
        (pair.owner.0 % 100, pair.witness.unwrap().0 % 100) == (0, 2)
    };
    RequestedOperation::Plain(keys.map(Result::unwrap).find(wanted).unwrap())
}

#[test]
fn ticket_whose_owner_dies_is_resolved_by_its_witness() {
    let mut world = world();
    let done = world.ticket(0, Some(2), 1).unwrap();
    request(&mut world, 1, &done);
    let cut_short = world.ticket(0, Some(2), 2).unwrap();
    world.request(0, &cut_short, 1);
    world.deliver(0);
    world.deliver(0);
    world.advance_attempt(world.attempts() - 1);
    world.kill(0);
    note(&mut world, "e0 dies between dispatch and answer");
    request(&mut world, 1, &done);
    request(&mut world, 1, &cut_short);
    let unsent = RequestedOperation::Ticketed({
        let RequestedOperation::Ticketed(mut operation) = cut_short else {
            unreachable!("it was issued as a ticket")
        };
        operation.number = 3;
        operation
    });
    request(&mut world, 3, &unsent);
    assert_snapshot!(world.trace.unwrap().join("\n"));
}

#[test]
fn plain_key_survives_a_graceful_leave_and_a_crash_and_then_waits_for_the_barrier() {
    let mut world = world();
    let operation = find_key(&world);
    request(&mut world, 1, &operation);
    world.hand_over(0);
    world.leave(0);
    (0..4).for_each(|node| world.sync(node));
    note(&mut world, "e0 handed its ledger over and left");
    request(&mut world, 1, &operation);
    world.kill(2);
    note(&mut world, "e2 dies");
    request(&mut world, 1, &operation);
    remove(&mut world, 2);
    request(&mut world, 1, &operation);
    world.kill(3);
    remove(&mut world, 3);
    world.kill(1);
    world.restart(0);
    world.now += STORE_LEASE_TTL + Duration::from_secs(1);
    world.remove(0, 1);
    world.restart(0);
    note(&mut world, "all others die; e0 restarts alone");
    request(&mut world, 0, &operation);
    world.now += TAKEOVER_BARRIER;
    world.sync(0);
    request(&mut world, 0, &operation);
    assert_snapshot!(world.trace.unwrap().join("\n"));
}

#[test]
fn partition_between_data_centres_answers_unknown_and_tickets_go_on() {
    let mut world = world();
    let operation = find_key(&world);
    world.nodes[0].partitioned = true;
    world.nodes[2].partitioned = true;
    note(
        &mut world,
        "e0 and e2 are cut off from e1, e3 and the store",
    );
    request(&mut world, 1, &operation);
    request(&mut world, 2, &operation);
    remove(&mut world, 0);
    remove(&mut world, 2);
    request(&mut world, 1, &operation);
    let ticketed = world.ticket(0, Some(2), 1).unwrap();
    note(
        &mut world,
        "ticket of e0 inside and outside the cut off data centre",
    );
    request(&mut world, 2, &ticketed);
    request(&mut world, 3, &ticketed);
    world.nodes[0].partitioned = false;
    world.nodes[2].partitioned = false;
    (0..4).for_each(|node| world.sync(node));
    note(&mut world, "the partition ends");
    request(&mut world, 3, &ticketed);
    request(&mut world, 0, &operation);
    assert_snapshot!(world.trace.unwrap().join("\n"));
}
