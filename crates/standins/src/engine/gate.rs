//! Gate that delays orders after they were received.

use std::collections::VecDeque;

/// Position of an order in the sequence of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderTicket(u64);

/// Gate that lets orders pass in the sequence of their arrival, and none while it is closed.
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

    /// Appends an order to the queue and returns its position.
    pub fn arrive(&mut self) -> OrderTicket {
        let ticket = OrderTicket(self.next);
        self.next += 1;
        self.row.push_back(ticket);
        ticket
    }

    /// Returns whether an order passes now, and removes it from the queue if so.
    pub fn pass(&mut self, ticket: OrderTicket) -> bool {
        if self.closed || self.row.front() != Some(&ticket) {
            return false;
        }
        self.row.pop_front();
        true
    }

    /// Drops the orders that have not passed.
    pub fn clear(&mut self) {
        self.row.clear();
    }
}
