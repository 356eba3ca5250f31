//! The process that began a stream, and which processes may continue it.

use serde::Deserialize;
use serde::Serialize;

use crate::names::GroupName;
use crate::names::SoftwareVersion;
use crate::names::UpstreamName;

/// What is known about the upstream process that wrote the first events of a stream.
///
/// What two versions of a service's software write does not fit together, and the upstreams do not
/// check it. So only a process of the same version may continue a stream.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Origin {
    /// Service of the upstream.
    pub service: GroupName,
    /// Version of the software that wrote the events; `None` if unknown.
    pub version: Option<SoftwareVersion>,
    /// Incarnation of the upstream; `None` if unknown.
    pub upstream: Option<UpstreamName>,
}

impl Origin {
    /// Returns whether events of `other` may follow events of this origin. An unknown version
    /// equals only that of the same incarnation.
    pub fn accepts(&self, other: &Self) -> bool {
        let is_same_software = match (&self.version, &other.version) {
            (Some(own), Some(other)) => own == other,
            _ => self.upstream.is_some() && self.upstream == other.upstream,
        };
        self.service == other.service && is_same_software
    }

    /// Returns this origin, corrected by what is known of the same incarnation now. If its version
    /// is not the same any more, nothing tells which of the two writes the answer in progress, and
    /// the origin accepts none.
    pub fn corrected(&self, now: Option<&Self>) -> Self {
        match (&self.version, now.and_then(|now| now.version.as_ref())) {
            (Some(before), Some(now)) if before != now => Self {
                service: self.service.clone(),
                version: None,
                upstream: None,
            },
            (before, now) => Self {
                version: before.as_ref().or(now).cloned(),
                ..self.clone()
            },
        }
    }
}
