//! Wake signal of a loop.

use crossbeam_channel::Receiver;
use crossbeam_channel::Sender;

/// Wakes one loop; several wakes before the loop receives them count as one.
#[derive(Clone)]
pub struct Signal {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Signal {
    /// Returns a signal without a pending wake.
    pub fn new() -> Self {
        let (sender, receiver) = crossbeam_channel::bounded(1);
        Self { sender, receiver }
    }

    /// Wakes the loop that receives from this signal.
    pub fn wake(&self) {
        // A full channel means that a wake is pending already.
        let _ = self.sender.try_send(());
    }

    /// Returns the receiver that the loop waits on.
    pub fn receiver(&self) -> Receiver<()> {
        self.receiver.clone()
    }
}
