//! Stand-ins for the users' platform: its store, model engines, plain services and callers, with
//! the wire format that `platform/` translates, and entry VMs as real processes in front of them.

mod calling;
mod engine;
mod groups;
mod orders;
mod organisations;
mod service;
mod serving;
mod site;
mod store;
mod stream_faults;
mod topics;
mod vm;

pub use calling::Answer;
pub use calling::Ask;
pub use calling::Caller;
pub use calling::HOST;
pub use calling::get;
pub use calling::is_ready;
pub use engine::CrashTrigger;
pub use engine::EngineEffects;
pub use engine::EngineOptions;
pub use engine::PlatformEngine;
pub use orders::OrderFault;
pub use organisations::SiteLimit;
pub use organisations::SiteOrganisation;
pub use service::PlatformService;
pub use serving::AnswerFault;
pub use serving::LARGE_BYTES;
pub use serving::RunSeen;
pub use site::Site;
pub use site::SiteOptions;
pub use store::PlatformStore;
pub use store::StoreCopy;
pub use store::StoreFault;
pub use stream_faults::StreamFault;
pub use vm::VmOptions;
pub use vm::VmProcess;
