//! Answers to callers that may be put together from several upstreams' answers.
//!
//! When an upstream's answer breaks off in a stream of numbered events, another upstream can resume
//! it after the last complete event. [`Delivery`] is the only writer of the caller's answer. It
//! checks that each part continues what the caller has received, and ends the answer only when the
//! last part is complete. Of a part that does not, the caller receives nothing, and the reason is a
//! [`ContinuationMismatch`]. There is no I/O: heads and bytes from upstreams go in, bytes for the
//! caller come out.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod delivery;
mod errors;
mod event;
mod options;
mod position;
mod splitter;

pub use delivery::Closing;
pub use delivery::Delivery;
pub use errors::ContinuationMismatch;
pub use options::AnswerSource;
pub use options::Options;
pub use splitter::EventSplitter;
pub use splitter::Piece;
