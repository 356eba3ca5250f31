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
    queue: VecDeque<OrderTicket>,
}

impl OrderGate {
    /// Opens or closes the gate.
    pub fn set_closed(&mut self, closed: bool) {
        self.closed = closed;
    }

    /// Appends an order to the queue and returns its position.
    pub fn enqueue(&mut self) -> OrderTicket {
        let ticket = OrderTicket(self.next);
        self.next += 1;
        self.queue.push_back(ticket);
        ticket
    }

    /// Returns whether an order passes now, and removes it from the queue if so.
    pub fn try_pass(&mut self, ticket: OrderTicket) -> bool {
        if self.closed || self.queue.front() != Some(&ticket) {
            return false;
        }
        self.queue.pop_front();
        true
    }

    /// Drops the orders that have not passed.
    pub fn clear(&mut self) {
        self.queue.clear();
    }
}
