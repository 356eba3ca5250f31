//! The operators' interface of a daemon: types, server and client.
//!
//! Each daemon listens for operators on one address of its own. What it answers there is what this
//! one VM knows; the interface has no view of the whole fleet and none is needed, since every VM
//! replays the same control stream.
//!
//! The daemon implements [`AdminSource`] and gives it to [`serve`]. The operators' command uses
//! [`AdminClient`]. Both speak JSON over HTTP/1.1; errors travel as problem documents
//! ([`Problem`]).
//!
//! The interface has no authentication of its own: it belongs on a network that only operators
//! reach.

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
