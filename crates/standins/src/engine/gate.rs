//! The gate that holds orders back after they were received.

use std::collections::VecDeque;

/// `OrderTicket` is an order's place in the row of those received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderTicket(u64);

/// `OrderGate` lets orders pass in the sequence of their arrival, and none while it is closed.
#[derive(Debug, Default)]
pub struct OrderGate {
    closed: bool,
    next: u64,
    row: VecDeque<OrderTicket>,
}

impl OrderGate {
    /// Opens or closes the gate.
    pub fn set_closed(&mut self, closed: bool) {
        self.closed = closed;
    }

    /// Notes an order that was received.
    pub fn arrive(&mut self) -> OrderTicket {
        let ticket = OrderTicket(self.next);
        self.next += 1;
        self.row.push_back(ticket);
        ticket
    }

    /// Returns whether an order passes now, and if so takes it out of the row.
    pub fn pass(&mut self, ticket: OrderTicket) -> bool {
        if self.closed || self.row.front() != Some(&ticket) {
            return false;
        }
        self.row.pop_front();
        true
    }

    /// Forgets the orders that have not passed.
    pub fn clear(&mut self) {
        self.row.clear();
    }
}
