//! Construction of a daemon's parts from its settings.

mod common;
mod deciding;
mod serving;

pub use common::Common;
pub use deciding::Deciding;
pub use serving::Serving;
