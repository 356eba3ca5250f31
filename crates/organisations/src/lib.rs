//! Organisations, their API keys and their limits.
//!
//! [`Organisations`] finds the organisation that holds a key. Keys are kept as keyed hashes under a
//! secret of this process, so that neither memory dumps nor debug output reveal them. [`Limit`]
//! bounds the usage of one organisation over all VMs together, counted in its [`Unit`].

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod errors;
mod key;
mod limit;
mod organisation;

pub use errors::Error;
pub use errors::Result;
pub use key::KeyFault;
pub use key::PresentedKey;
pub use key::SecretKey;
pub use limit::Limit;
pub use limit::Unit;
pub use organisation::Organisation;
pub use organisation::Organisations;
