//! Operators' interface of a daemon: types, server and client.
//!
//! Each daemon serves its operators on an address of its own and answers with the state of its own
//! VM. No endpoint collects the state of the whole fleet, and none needs to: every VM replays the
//! same control stream.
//!
//! The daemon implements [`AdminSource`] and passes it to [`serve`]. The operators' command uses
//! [`AdminClient`]. Both use JSON over HTTP/1.1 and send errors as problem documents ([`Problem`]).
//!
//! The interface authenticates nobody. It belongs on a network that only operators can reach.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod client;
mod errors;
mod problem;
mod publish;
mod server;
mod source;
mod views;

pub use client::AdminClient;
pub use client::ClientOptions;
pub use errors::Error;
pub use errors::Result;
pub use problem::Problem;
pub use problem::ProblemCode;
pub use publish::PublishOutcome;
pub use publish::PublishRequest;
pub use server::AdminServer;
pub use server::RenderMetrics;
pub use server::ServerOptions;
pub use server::serve;
pub use source::AdminSource;
pub use views::ConfigView;
pub use views::DrainView;
pub use views::EngineLine;
pub use views::Explanation;
pub use views::ExplanationStep;
pub use views::MemberLine;
pub use views::MemberState;
pub use views::MembersView;
pub use views::ModelLine;
pub use views::ModelsView;
pub use views::ReplicaLine;
pub use views::ReplicaState;
pub use views::Status;
pub use views::UpstreamLine;
pub use views::UpstreamsView;
