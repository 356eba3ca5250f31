//! Which requests crash the upstreams that run them.
//!
//! A [`Fingerprint`] tells whether two requests are the same one, though their ids differ. The
//! crate is pure: facts and time go in, verdicts come out.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod fingerprint;

pub use fingerprint::CallerHash;
pub use fingerprint::Fingerprint;
pub use fingerprint::ParseFingerprintError;
