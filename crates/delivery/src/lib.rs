//! What a caller has been given of an answer, and what may follow it.
//!
//! An answer to a caller may be made of several upstreams' answers: when one breaks off in a stream
//! of numbered events, another goes on behind the last whole event. [`Delivery`] is the only writer
//! of such an answer. It checks that each part fits behind what was given, and tells the end only
//! where the last part is whole; what does not fit is a [`Misfit`], of which the caller gets
//! nothing. It is pure: heads and bytes of upstreams go in, bytes for the caller come out.

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
pub use errors::Misfit;
pub use options::Options;
pub use splitter::EventSplitter;
pub use splitter::Piece;
