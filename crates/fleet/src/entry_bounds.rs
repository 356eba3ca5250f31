//! Bounds on what an entry of the upstream list may state.
//!
//! Other programs may write to the list. A value outside these bounds is no upstream's, and would
//! otherwise be added to other upstreams' values, kept as the latest one, or sent to an upstream.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use crate::errors::InvalidEntry;
use crate::upstream::Upstream;

/// Maximum number of requests that an upstream may run at once. Each occupies a connection, and one
/// address has no more ports.
const MAX_SLOTS: u32 = 65_535;

/// How far the start of an upstream may lie ahead of the VM's clock, in milliseconds. Clocks differ by
/// less.
const MAX_START_LEAD_MS: u64 = 24 * 60 * 60 * 1_000;

/// Checks that an upstream can have started at `born_ms`. A later start replaces an earlier one for
/// good, so that an impossible one would hide the upstream's own entry.
///
/// # Errors
///
/// [`InvalidEntry::Start`] if the start lies too far ahead of `now_unix_ms`.
pub fn check_start(born_ms: u64, now_unix_ms: u64) -> Result<(), InvalidEntry> {
    match born_ms > now_unix_ms.saturating_add(MAX_START_LEAD_MS) {
        true => Err(InvalidEntry::Start(born_ms)),
        false => Ok(()),
    }
}

impl Upstream {
    /// Checks that the entry states nothing that no upstream can state. `now_unix_ms` is the VM's
    /// clock in Unix milliseconds.
    ///
    /// # Errors
    ///
    /// [`InvalidEntry`] with the first field that is out of bounds.
    pub fn check(&self, now_unix_ms: u64) -> Result<(), InvalidEntry> {
        match () {
            _ if self.slots > MAX_SLOTS => Err(InvalidEntry::Slots(self.slots)),
            _ if !is_host(self.address) => Err(InvalidEntry::Address(self.address)),
            _ => check_start(self.born_ms, now_unix_ms),
        }
    }
}

/// Returns whether a single host can listen at an address. The unspecified address would lead back
/// to the VM itself.
fn is_host(address: SocketAddr) -> bool {
    let ip = address.ip().to_canonical();
    let is_broadcast = ip == IpAddr::V4(Ipv4Addr::BROADCAST);
    address.port() > 0 && !ip.is_unspecified() && !ip.is_multicast() && !is_broadcast
}
