//! Remembers which ticketed operations were removed from the ledger, so that a missing record is
//! never mistaken for "not run".

use std::collections::HashMap;

use nutmegcart_model::Incarnation;

use crate::ticket::OperationId;

/// Watermarks at or below which ticketed operations may have been forgotten.
///
/// Owners number their tickets in ascending order, and callers number their requests in ascending
/// order, so one number per open ticket and one per owner are enough.
#[derive(Clone, Debug, Default)]
pub struct ForgottenTickets {
    /// Tickets with operations in the ledger, by owner and serial.
    open_tickets: HashMap<(Incarnation, u64), OpenTicket>,
    /// Highest serial of a closed ticket, by owner.
    highest_closed: HashMap<Incarnation, u64>,
}

#[derive(Clone, Copy, Debug, Default)]
struct OpenTicket {
    /// Number of operations in the ledger.
    records: usize,
    /// Highest request number that was forgotten.
    highest_forgotten: Option<u64>,
}

impl ForgottenTickets {
    /// Returns whether the operation may have been in the ledger and been forgotten.
    #[must_use]
    pub fn contains(&self, id: &OperationId) -> bool {
        let OperationId::Ticket(ticket) = id else {
            return false;
        };
        if let Some(open) = self.open_tickets.get(&(ticket.owner, ticket.serial)) {
            return open
                .highest_forgotten
                .is_some_and(|highest| ticket.number <= highest);
        }
        let closed = self.highest_closed.get(&ticket.owner);
        closed.is_some_and(|highest| ticket.serial <= *highest)
    }

    /// Records that the operation was added to the ledger.
    pub fn add_record(&mut self, id: &OperationId) {
        if let OperationId::Ticket(ticket) = id {
            let open = self.open_tickets.entry((ticket.owner, ticket.serial));
            open.or_default().records += 1;
        }
    }

    /// Records that the operation was removed from the ledger.
    ///
    /// A ticket without records is closed, together with all unused tickets of lower serial.
    pub fn remove_record(&mut self, id: &OperationId) {
        let OperationId::Ticket(ticket) = id else {
            return;
        };
        let key = (ticket.owner, ticket.serial);
        let Some(open) = self.open_tickets.get_mut(&key) else {
            return;
        };
        open.records -= 1;
        open.highest_forgotten = open.highest_forgotten.max(Some(ticket.number));
        if open.records == 0 {
            self.open_tickets.remove(&key);
            let highest = self.highest_closed.entry(ticket.owner).or_default();
            *highest = ticket.serial.max(*highest);
        }
    }
}
