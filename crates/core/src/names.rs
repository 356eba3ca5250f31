//! Names and identities, as cheaply cloned immutable strings.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates the name from its text.
            pub fn new(text: impl AsRef<str>) -> Self {
                Self(Arc::from(text.as_ref()))
            }

            /// Returns the text of the name.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{:?}", &*self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }
    };
}

name_type! {
    /// Name of a VM that runs the apricotdale daemon.
    VmName
}
name_type! {
    /// Name of a region.
    RegionName
}
name_type! {
    /// Name of an availability zone.
    ZoneName
}
name_type! {
    /// Name of a model or an adapter, as callers write it in a request.
    ModelName
}
name_type! {
    /// Name of a model engine or of one instance of a plain service.
    UpstreamName
}
name_type! {
    /// Name by which the platform knows an upstream. It stays the same when the upstream restarts,
    /// whereas each incarnation has an [`UpstreamName`] of its own.
    InstanceName
}
name_type! {
    /// Name of a group of interchangeable upstreams, such as `planner-lm`.
    GroupName
}
name_type! {
    /// Name of a class of work, such as `quick`.
    ClassName
}
name_type! {
    /// Name of a caller, by which fair sharing counts its requests.
    CallerName
}
name_type! {
    /// Identity of one request, the same in all processes that handle it.
    RequestId
}
name_type! {
    /// Key that a caller attaches to a call so that the call runs at most once.
    IdempotencyKey
}
name_type! {
    /// Name of a stream of the platform's log.
    StreamName
}
name_type! {
    /// Version of the software that an upstream runs, as opposed to the version of a model's
    /// weights.
    SoftwareVersion
}
