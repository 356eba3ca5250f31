//! Stand-ins for the users' platform: its store, model engines, plain services and callers, with
//! the wire format that `platform/` translates, and entry VMs as real processes in front of them.

mod answers;
mod caller;
mod crashes;
mod engine;
mod event_texts;
mod groups;
mod notices;
mod orders;
mod organisations;
mod service;
mod shared_faults;
mod site;
mod store;
mod stream_faults;
mod topics;
mod vm;

pub use answers::AnswerFault;
pub use answers::LARGE_BYTES;
pub use answers::RecordedRun;
pub use caller::Answer;
pub use caller::Caller;
pub use caller::HOST;
pub use caller::SiteRequest;
pub use caller::get;
pub use caller::is_ready;
pub use crashes::CrashMarker;
pub use crashes::CrashTrigger;
pub use engine::EngineEffects;
pub use engine::EngineOptions;
pub use engine::PlatformEngine;
pub use event_texts::DEFAULT_SOFTWARE_VERSION;
pub use event_texts::writing_versions;
pub use notices::Arrival;
pub use orders::OrderFault;
pub use organisations::SiteLimit;
pub use organisations::SiteOrganisation;
pub use service::PlatformService;
pub use site::Site;
pub use site::SiteOptions;
pub use store::PlatformStore;
pub use store::StoreFault;
pub use store::StoreSnapshot;
pub use stream_faults::StreamFault;
pub use vm::VmOptions;
pub use vm::VmProcess;
