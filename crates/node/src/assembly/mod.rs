//! Construction of a daemon's parts from its settings.

mod common;
mod control_threads;
mod serving;

pub use common::Common;
pub use control_threads::ControlThreads;
pub use serving::Serving;
