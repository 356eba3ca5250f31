//! Stand-in of the append-only log service.

mod options;
mod server;
mod streams;

pub use options::Options;
pub use options::options;
pub use server::LogStandin;
pub use server::Mode;
pub use streams::Retention;
pub use streams::StreamRecords;
