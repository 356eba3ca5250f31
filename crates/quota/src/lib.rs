//! Limits of organisations, enforced by many VMs together.
//!
//! Each VM admits requests through its [`QuotaClient`]. One VM, the quota owner, keeps a [token
//! bucket] for each organisation in its [`QuotaOwner`] and receives reports of usage from all VMs.
//! While an organisation is far from its limit (has headroom), a VM admits at once and reports
//! later, up to its share of a part of the limit. Otherwise it uses what the owner has granted.
//!
//! The units that accrue belong to the VMs in equal shares, and an owner only counts the shares of
//! the VMs that report to it. A VM without a live owner uses its own share. So the VMs need not
//! agree on the owner, and the loss of an owner loses no more than the units that it has granted.
//! Accounts of units [at risk](AccountRule::AtRisk) count what was admitted until it is refunded. They
//! bound how many requests may fail in some way within a second, by how many are sent before it is
//! known that earlier ones have not failed.
//!
//! Near its limit, an account whose requests are of several ranks grants its units by rank, then age:
//! `rank_order.rs`.
//!
//! Nothing here reads a clock or sends: callers pass the time, events and messages, and get
//! decisions and messages.
//!
//! [token bucket]: https://www.rfc-editor.org/rfc/rfc2697

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod budget;
mod client;
mod message;
mod owner;
mod rank_order;

pub use budget::AccountRule;
pub use budget::Bounds;
pub use client::Admission;
pub use client::QuotaClient;
pub use message::AccountId;
pub use message::AccountInFlight;
pub use message::AccountRoom;
pub use message::AccountTurns;
pub use message::AccountUsage;
pub use message::AccountWants;
pub use message::Allowance;
pub use message::Answer;
pub use message::DeniedRequest;
pub use message::MAX_LISTED_REQUESTS;
pub use message::Report;
pub use message::ReportExtra;
pub use message::WantedUnits;
pub use owner::QuotaOwner;
