//! What a VM knows of its configuration and its upstreams.
//!
//! [`Configuration`] is one version of the operators' configuration, [`RouteTable`] finds the route
//! of a request in it, and [`Directory`] keeps the newest configuration and the upstreams as the
//! platform's list tells them. All of it is plain state: facts go in with the time at which they
//! were learned, and nothing here opens a socket or reads a clock.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod configuration;
mod departure;
mod directory;
mod errors;
mod list_recovery;
mod list_repair;
mod list_snapshot;
mod read_pacing;
mod request;
mod residence;
mod routes;
mod sharing;
mod upstream;

pub use configuration::CallerLimits;
pub use configuration::Configuration;
pub use configuration::EngineSpec;
pub use configuration::ModelSpec;
pub use configuration::Route;
pub use configuration::RouteKind;
pub use configuration::Service;
pub use configuration::SplitShare;
pub use departure::Departure;
pub use departure::DepartureKind;
pub use directory::Directory;
pub use directory::DirectoryChange;
pub use directory::DirectoryOptions;
pub use directory::ListingChanges;
pub use errors::Error;
pub use errors::Result;
pub use list_repair::ListRepair;
pub use list_snapshot::ListSnapshot;
pub use list_snapshot::ListSnapshotPart;
pub use list_snapshot::residence_digests;
pub use list_snapshot::serving_digest;
pub use read_pacing::ReadPacing;
pub use request::PromptPart;
pub use request::ServingRequest;
pub use request::WantedModel;
pub use residence::Residence;
pub use residence::ResidentModel;
pub use residence::Tier;
pub use routes::RouteTable;
pub use sharing::Freshness;
pub use sharing::ReadSharing;
pub use upstream::Upstream;
pub use upstream::UpstreamPhase;
pub use upstream::incarnation_name;
