//! State that a VM keeps of its configuration and its upstreams.
//!
//! [`Configuration`] is one version of the operators' configuration, [`RouteTable`] finds the route
//! of a request in it, and [`Directory`] keeps the newest configuration and the upstreams of the
//! platform's upstream list. Nothing here opens a socket or reads a clock: callers pass facts
//! together with the time at which they were learned.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod caller_times;
mod configuration;
mod configuration_evidence;
mod configuration_read;
mod departure;
mod directory;
mod entry_bounds;
mod entry_versions;
mod errors;
mod list_recovery;
mod list_repair;
mod list_snapshot;
mod read_pacing;
mod read_sharing;
mod request;
mod residence;
mod route_table;
mod upstream;

pub use caller_times::CallerDue;
pub use caller_times::CallerPhase;
pub use caller_times::CallerTimes;
pub use configuration::CallerLimits;
pub use configuration::Configuration;
pub use configuration::EngineSpec;
pub use configuration::ModelSpec;
pub use configuration::Route;
pub use configuration::RouteKind;
pub use configuration::Service;
pub use configuration::SplitShare;
pub use configuration_evidence::AwaitedEvidence;
pub use configuration_evidence::ConfigurationEvidence;
pub use configuration_evidence::EvidenceOptions;
pub use configuration_evidence::ReadVersion;
pub use configuration_evidence::Readiness;
pub use configuration_read::ConfigurationRead;
pub use departure::Departure;
pub use departure::DepartureKind;
pub use directory::Directory;
pub use directory::DirectoryChange;
pub use directory::DirectoryOptions;
pub use directory::ListingChanges;
pub use entry_bounds::check_start;
pub use entry_versions::RecentVersions;
pub use entry_versions::append_versions;
pub use entry_versions::set_versions;
pub use errors::Error;
pub use errors::InvalidEntry;
pub use errors::Result;
pub use list_repair::ListRepair;
pub use list_snapshot::ListSnapshot;
pub use list_snapshot::ListSnapshotPart;
pub use list_snapshot::residence_digests;
pub use list_snapshot::serving_digest;
pub use list_snapshot::versions_digest;
pub use read_pacing::ReadPacing;
pub use read_sharing::Freshness;
pub use read_sharing::ReadSharing;
pub use request::PromptPart;
pub use request::ServingRequest;
pub use request::WantedModel;
pub use residence::Residence;
pub use residence::ResidentModel;
pub use residence::Tier;
pub use route_table::RouteTable;
pub use upstream::Upstream;
pub use upstream::UpstreamPhase;
pub use upstream::incarnation_name;
