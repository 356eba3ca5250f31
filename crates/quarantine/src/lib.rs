//! Detection of requests that crash the upstreams that run them.
//!
//! All requests in progress at an upstream are lost when it crashes. Most of them are not the
//! cause, but the one that is comes again, to another VM and under another ID, and crashes the next
//! upstream. Two requests with the same [`Fingerprint`] count as the same. [`Quarantine`] records
//! which requests were in progress at which crashed upstream, and decides which of them are blocked
//! and until when. Before that, a request of which too much was lost is on probation: its copies
//! are sent as trial runs, one at a time over all VMs, until one is answered.
//!
//! [`CrashWatch`] is the part of one VM among many: it says which upstreams to probe, and what to
//! send to the other VMs. Some of the VMs are judges: the others send them their crash reports and
//! ask them before each trial run. There is no I/O: observations and the time go in, decisions and
//! messages come out.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod blocks;
mod cases;
mod crash_watch;
mod crashes;
mod features;
mod fingerprint;
mod local_reports;
mod options;
mod probation;
mod quarantine;
mod recent_answers;
mod reports;
mod trials;
mod unconfirmed_crashes;
mod vm_messages;

pub use blocks::BlockRow;
pub use blocks::LiftedBlocks;
pub use crash_watch::CrashWatch;
pub use features::RequestFeatures;
pub use fingerprint::CallerHash;
pub use fingerprint::Fingerprint;
pub use fingerprint::ParseFingerprintError;
pub use options::Options;
pub use quarantine::Quarantine;
pub use quarantine::Scope;
pub use reports::AnsweredRow;
pub use reports::CaseCrash;
pub use reports::CaseRow;
pub use reports::CrashReport;
pub use reports::ProbationRow;
pub use reports::Suspect;
pub use reports::SuspectPart;
pub use trials::Permit;
pub use trials::TrialAnswer;
pub use trials::TrialEnd;
pub use trials::TrialQuery;
pub use unconfirmed_crashes::UpstreamProbe;
pub use vm_messages::Cleared;
pub use vm_messages::Due;
pub use vm_messages::LostRequest;
pub use vm_messages::Role;
