//! Membership: which VMs and upstreams are there, from the lagging list and from what is seen.
//!
//! [`Membership`] takes in events and the time, and returns actions; [`View`] is what it believes
//! now. The belief saves duplicate work and keeps new work off leaving upstreams. Nothing relies on
//! it being the same on every VM: what has to be agreed goes through the log.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod departures;
mod event;
mod listing;
mod membership;
mod options;
mod pause;
mod peers;
mod view;

pub use event::MembershipAction;
pub use event::MembershipEvent;
pub use event::Moment;
pub use event::PeerStatus;
pub use membership::Membership;
pub use options::Options;
pub use pause::PauseDetector;
pub use pause::PauseVerdict;
pub use view::UpstreamView;
pub use view::View;
pub use view::VmView;
