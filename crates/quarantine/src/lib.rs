//! Which requests crash the upstreams that run them.
//!
//! An upstream that crashes takes all its requests with it. Most of them only stood beside the one
//! that crashed it, but that one comes again, to another VM and under another id, and crashes the
//! next. [`Fingerprint`] tells whether two requests are the same one. [`Quarantine`] learns which
//! requests were in progress at which crashed upstream, and says which are refused and until when.
//! Before that, a request under which too much was lost is on probation: its copies are sent as
//! trials, one at a time over all VMs, until one was answered.
//! [`CrashWatch`] is what one of many VMs does around it: what it asks upstreams and tells the
//! others. It is pure: facts and time go in, verdicts and messages come out.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod answered;
mod blocks;
mod broken;
mod crashes;
mod fingerprint;
mod options;
mod own_reports;
mod probation;
mod quarantine;
mod trials;
mod watch;

pub use blocks::BlockRow;
pub use broken::Recheck;
pub use crashes::CaseCrash;
pub use crashes::CaseRow;
pub use crashes::CrashReport;
pub use crashes::Suspect;
pub use fingerprint::CallerHash;
pub use fingerprint::Fingerprint;
pub use fingerprint::ParseFingerprintError;
pub use options::Options;
pub use quarantine::Quarantine;
pub use quarantine::Scope;
pub use trials::Permit;
pub use trials::TrialAnswer;
pub use trials::TrialAsk;
pub use trials::TrialEnd;
pub use watch::CrashWatch;
pub use watch::Due;
pub use watch::LostRequest;
pub use watch::Role;
