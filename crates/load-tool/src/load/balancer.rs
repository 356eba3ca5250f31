//! Simulation of the platform's load balancer within the load tool.

use std::net::SocketAddr;
use std::sync::RwLock;

/// Addresses of the VMs. There are no health checks: a client whose connection is refused goes to
/// the next VM.
#[derive(Debug)]
pub struct Balancer {
    addresses: RwLock<Vec<SocketAddr>>,
}

impl Balancer {
    /// Returns a balancer of the VMs at the given addresses.
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        Self {
            addresses: RwLock::new(addresses),
        }
    }

    /// Returns the indexes and addresses of all VMs, in the order in which to try them, from VM
    /// `first` on.
    pub fn route(&self, first: usize) -> Vec<(usize, SocketAddr)> {
        let addresses = self.addresses.read().expect("no holder of the lock panics");
        let count = addresses.len();
        (first..first + count)
            .map(|index| (index % count, addresses[index % count]))
            .collect()
    }

    /// Replaces the address of a VM, after its restart.
    pub fn replace(&self, vm: usize, address: SocketAddr) {
        let mut addresses = self
            .addresses
            .write()
            .expect("no holder of the lock panics");
        addresses[vm] = address;
    }
}
