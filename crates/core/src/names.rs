//! Names of the things apricotdale deals with, as shared immutable strings.

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
            /// Returns the name of the given text.
            pub fn new(text: impl AsRef<str>) -> Self {
                Self(Arc::from(text.as_ref()))
            }

            /// Returns the name as text.
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
    /// `VmName` is the name of a VM that runs the apricotdale daemon.
    VmName
}
name_type! {
    /// `RegionName` is the name of a region.
    RegionName
}
name_type! {
    /// `ZoneName` is the name of an availability zone.
    ZoneName
}
name_type! {
    /// `ModelName` is the name of a model or of an adapter, as callers write it in a request.
    ModelName
}
name_type! {
    /// `UpstreamName` is the name of a model engine or of one instance of a plain service.
    UpstreamName
}
name_type! {
    /// `InstanceName` is the name under which the platform knows an upstream. An upstream may start
    /// again under it; each of its runs has an [`UpstreamName`] of its own.
    InstanceName
}
name_type! {
    /// `GroupName` is the name of a group of equal upstreams, such as `planner-lm`.
    GroupName
}
name_type! {
    /// `ClassName` is the name of a class of work, such as `quick`.
    ClassName
}
name_type! {
    /// `CallerName` is the name under which a caller's share is counted.
    CallerName
}
name_type! {
    /// `RequestId` identifies one request from end to end.
    RequestId
}
name_type! {
    /// `IdempotencyKey` is the key under which a caller's call may run at most once.
    IdempotencyKey
}
name_type! {
    /// `StreamName` is the name of a stream on the platform's log.
    StreamName
}
