//! Waking a loop.

use crossbeam_channel::Receiver;
use crossbeam_channel::Sender;

/// `Signal` wakes one loop; several wakes before it looks count as one.
#[derive(Clone)]
pub struct Signal {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Signal {
    /// Returns a signal that has not been given.
    pub fn new() -> Self {
        let (sender, receiver) = crossbeam_channel::bounded(1);
        Self { sender, receiver }
    }

    /// Wakes the loop.
    pub fn wake(&self) {
        // A full channel means that the loop is about to look anyway.
        let _ = self.sender.try_send(());
    }

    /// Returns what the loop waits on.
    pub fn receiver(&self) -> Receiver<()> {
        self.receiver.clone()
    }
}
