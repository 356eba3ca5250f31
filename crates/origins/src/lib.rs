//! Which software version may continue a stream that its caller resumes, at whatever VM.
//!
//! A caller whose stream broke off resumes it with a new request that names the request which
//! brought the first event. Another VM may have served that one. Each VM therefore keeps the
//! origins of the streams that it began ([`OriginTable`]) and tells them to a few VMs, which all
//! VMs choose alike by the stream ([`holders`]). A VM at which a stream is resumed asks these
//! ([`Resumption`]). If none of them knows the stream, it is resumed only if a single version can
//! have begun it ([`VersionHistory`]), and refused otherwise.
//!
//! There is no I/O: messages and the time go in, decisions and messages come out.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod holders;
mod resumption;
mod stream_id;
mod table;
mod versions;

pub use holders::ASKED_HOLDERS;
pub use holders::TOLD_HOLDERS;
pub use holders::holders;
pub use resumption::Evidence;
pub use resumption::OriginAnswer;
pub use resumption::OriginQuery;
pub use resumption::OriginUnknown;
pub use resumption::Resumption;
pub use resumption::ResumptionStep;
pub use stream_id::StreamId;
pub use table::OriginTable;
pub use table::Recorded;
pub use table::StreamOrigin;
pub use table::TableOptions;
pub use versions::KnownVersions;
pub use versions::VersionHistory;
