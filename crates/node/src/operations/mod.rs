//! Operators' views and actions.

mod admin_source;
mod publisher;
mod views;

pub use admin_source::AdminParts;
pub use admin_source::NodeAdmin;
pub use publisher::Publisher;
