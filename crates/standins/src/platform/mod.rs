//! Stand-ins for the users' platform: its store, its model engines and its plain services, on the
//! wire that `platform/` translates.

mod engine;
mod orders;
mod service;
mod serving;
mod site;
mod store;
mod topics;

pub use engine::EngineEffects;
pub use engine::EngineOptions;
pub use engine::PlatformEngine;
pub use orders::OrderFault;
pub use service::PlatformService;
pub use serving::AnswerFault;
pub use serving::RunSeen;
pub use site::Site;
pub use site::SiteOptions;
pub use store::PlatformStore;
pub use store::StoreFault;
