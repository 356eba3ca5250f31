//! The limits of organisations, held by many VMs together.
//!
//! Each VM admits by itself; [`QuotaClient`] is its side. One VM, the keeper, keeps a [token bucket] of
//! each organisation and hears from all what they have spent; [`QuotaOwner`] is its side. While an
//! organisation is far from its limit (calm), a VM admits at once and tells later, up to a part of the
//! limit that all VMs share out. Otherwise it spends what the keeper has granted. What accrues belongs
//! to the VMs in equal parts, and the keeper counts the parts of those that it hears only. A VM that
//! hears no keeper lives off its own part. So no two VMs need to agree on who keeps, and a keeper that
//! is lost takes nothing with it but what was granted. It is pure: facts, messages and time go in,
//! decisions and messages come out.
//!
//! [token bucket]: https://www.rfc-editor.org/rfc/rfc2697

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod budget;
mod keeper;
mod message;
mod spender;

pub use budget::Bounds;
pub use keeper::QuotaOwner;
pub use message::AccountId;
pub use message::Allowance;
pub use message::Answer;
pub use message::Report;
pub use message::Spent;
pub use spender::Admission;
pub use spender::QuotaClient;
