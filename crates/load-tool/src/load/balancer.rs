//! The platform's balancer, as far as a caller needs it.

use std::net::SocketAddr;
use std::sync::RwLock;

/// `Balancer` knows where the VMs are. It does not know which of them runs: a connection that is
/// refused goes to the next VM.
#[derive(Debug)]
pub struct Balancer {
    addresses: RwLock<Vec<SocketAddr>>,
}

impl Balancer {
    /// Returns a balancer over VMs in the given order.
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        Self {
            addresses: RwLock::new(addresses),
        }
    }

    /// Returns the VMs to try for a request, in order, with their indexes.
    pub fn route(&self, first: usize) -> Vec<(usize, SocketAddr)> {
        let addresses = self.addresses.read().expect("no holder of the lock panics");
        let count = addresses.len();
        (first..first + count)
            .map(|index| (index % count, addresses[index % count]))
            .collect()
    }

    /// Notes that a VM is at another address from now on.
    pub fn replace(&self, vm: usize, address: SocketAddr) {
        let mut addresses = self
            .addresses
            .write()
            .expect("no holder of the lock panics");
        addresses[vm] = address;
    }
}
