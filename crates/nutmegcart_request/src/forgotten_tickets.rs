//! Which operations under tickets were forgotten, so that absence is never taken for "not run".

use std::collections::HashMap;

use nutmegcart_model::Incarnation;

use crate::ticket::OperationId;

/// Marks below which the records of tickets are no longer whole.
///
/// Tickets are numbered in ascending order by their owner, and requests by their caller, so one
/// number per open ticket and one per owner are enough.
#[derive(Clone, Debug, Default)]
pub struct ForgottenTickets {
    open: HashMap<(Incarnation, u64), Open>,
    closed: HashMap<Incarnation, u64>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Open {
    /// Operations on record.
    records: usize,
    /// Highest number that was forgotten.
    floor: Option<u64>,
}

impl ForgottenTickets {
    /// Returns whether the operation may have been on record and forgotten.
    #[must_use]
    pub fn contains(&self, id: &OperationId) -> bool {
        let OperationId::Ticket(ticket) = id else {
            return false;
        };
        if let Some(open) = self.open.get(&(ticket.owner, ticket.serial)) {
            return open.floor.is_some_and(|floor| ticket.number <= floor);
        }
        let closed = self.closed.get(&ticket.owner);
        closed.is_some_and(|floor| ticket.serial <= *floor)
    }

    /// Notes that the operation is on record.
    pub fn add_record(&mut self, id: &OperationId) {
        if let OperationId::Ticket(ticket) = id {
            let open = self.open.entry((ticket.owner, ticket.serial));
            open.or_default().records += 1;
        }
    }

    /// Notes that the operation is no longer on record.
    ///
    /// A ticket without records is closed, together with unused tickets of lower serial.
    pub fn remove_record(&mut self, id: &OperationId) {
        let OperationId::Ticket(ticket) = id else {
            return;
        };
        let key = (ticket.owner, ticket.serial);
        let Some(open) = self.open.get_mut(&key) else {
            return;
        };
        open.records -= 1;
        open.floor = open.floor.max(Some(ticket.number));
        if open.records == 0 {
            self.open.remove(&key);
            let floor = self.closed.entry(ticket.owner).or_default();
            *floor = ticket.serial.max(*floor);
        }
    }
}
