//! Which upstream takes a request, which requests wait, and which are refused.
//!
//! [`Dispatcher`] decides for one VM. It looks at the directory for the upstreams that can run a
//! request, leaves the choice among them to the routing policy and the number of repeats to the
//! retry policy, and says of a request that can't be sent now whether it is worth waiting. It is
//! pure: facts and time go in, verdicts come out.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod crowding;
mod dispatcher;
mod forecast;
mod job;
mod options;
mod silence;
mod suspension;

pub use crowding::LoadSample;
pub use dispatcher::Dispatcher;
pub use forecast::LoadForecast;
pub use job::Attempt;
pub use job::FailedTry;
pub use job::Job;
pub use job::Urgency;
pub use job::Verdict;
pub use job::WaitReason;
pub use options::DispatcherOptions;
pub use silence::Silence;
pub use silence::SilenceWatch;
