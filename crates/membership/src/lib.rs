//! Membership: which VMs and upstreams exist, from the delayed VM list and from observed traffic.
//!
//! [`Membership`] handles events together with the time, and returns actions; [`View`] is its
//! current result. The view saves duplicate work and keeps new work off leaving upstreams. Nothing
//! relies on equal views on all VMs: whatever has to be agreed upon goes through the log.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod departures;
mod event;
mod listing;
mod membership;
mod options;
mod pause_detector;
mod peers;
mod view;

pub use event::MembershipAction;
pub use event::MembershipEvent;
pub use event::Moment;
pub use event::PeerStatus;
pub use membership::Membership;
pub use options::Options;
pub use pause_detector::PauseDetector;
pub use pause_detector::PauseVerdict;
pub use view::UpstreamView;
pub use view::View;
pub use view::VmView;
