//! Settings of a daemon, read from an INI file and checked as a whole.
//!
//! [`Settings::from_text`] returns either settings that can be used or all [`Problem`]s of the
//! text. A daemon does not start while its settings have a problem. [`KEYS`] lists every key with
//! its default and the values that it allows; `docs/SETTINGS.md` has one row for each key.
//!
//! No setting directs load: there are no weights, no pinned VMs and no addresses of upstreams.
//! Operators influence routing only by the targets of the classes, which are part of the published
//! configuration and not of these settings.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod checks;
mod cluster_key;
mod document;
mod keys;
mod kind;
mod problem;
mod settings;
mod values;

pub use cluster_key::ClusterKey;
pub use document::Document;
pub use document::Entry;
pub use document::Section;
pub use keys::KEYS;
pub use keys::Key;
pub use problem::Problem;
pub use settings::CallerSettings;
pub use settings::DrainSettings;
pub use settings::ListenSettings;
pub use settings::LogSettings;
pub use settings::PeerSettings;
pub use settings::PlatformSettings;
pub use settings::PolicySettings;
pub use settings::Settings;
pub use settings::UpstreamSettings;
pub use settings::VmSettings;
