//! Settings of a daemon, read from an INI file and checked as a whole.
//!
//! [`Settings::from_text`] returns either settings that can be used or every [`Problem`] at once.
//! Nothing is started on settings with a problem. [`KEYS`] lists every key with its default and
//! what it allows; `docs/SETTINGS.md` holds one row for each.
//!
//! There is no setting by which work is steered: no weight, no choice of a VM, no address of an
//! upstream. Operators steer only by the classes' targets, which are published and not set.

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
