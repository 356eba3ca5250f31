//! In-memory plain service with faults.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Condvar;
use parking_lot::Mutex;

use apricotdale_core::Error;
use apricotdale_core::Result;
use apricotdale_core::names::IdempotencyKey;
use apricotdale_core::service::PlainService;
use apricotdale_core::service::ServiceAnswer;
use apricotdale_core::service::ServiceCall;

use super::switch::Switch;
use super::wait_until;

/// Fault of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFault {
    /// The call runs, and no answer comes.
    LoseAnswer,
    /// The call runs, and the daemon that made it is paused before the answer comes.
    Pause,
}

/// Call that ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Effect {
    pub instance: SocketAddr,
    pub key: Option<IdempotencyKey>,
}

#[derive(Default)]
struct Inner {
    effects: Vec<Effect>,
    faults: VecDeque<CallFault>,
    is_held: bool,
}

/// All instances of the service.
#[derive(Default)]
pub struct FakeService {
    inner: Mutex<Inner>,
    changed: Condvar,
}

impl FakeService {
    /// Applies a fault to the next call.
    pub fn fault(&self, fault: CallFault) {
        self.inner.lock().faults.push_back(fault);
    }

    /// Holds the answers of calls that have run, or releases them.
    pub fn hold(&self, is_held: bool) {
        self.inner.lock().is_held = is_held;
        self.changed.notify_all();
    }

    /// Returns the number of calls under a key that ran.
    pub fn effects_of(&self, key: &str) -> usize {
        let inner = self.inner.lock();
        let keys = inner.effects.iter().filter_map(|one| one.key.as_ref());
        keys.filter(|known| known.as_str() == key).count()
    }

    /// Waits until a call under a key has run.
    pub fn wait_effect_of(&self, key: &str) {
        wait_until("the call to run", || self.effects_of(key) > 0);
    }

    /// Returns the number of calls that ran at an instance.
    pub fn effects_at(&self, instance: SocketAddr) -> usize {
        let inner = self.inner.lock();
        let here = inner.effects.iter();
        here.filter(|effect| effect.instance == instance).count()
    }

    /// Returns a client through which one VM reaches the service.
    pub fn client(self: &Arc<Self>, switch: &Arc<Switch>) -> ServiceOfVm {
        ServiceOfVm {
            service: Arc::clone(self),
            switch: Arc::clone(switch),
        }
    }
}

/// Client through which one daemon reaches the service.
pub struct ServiceOfVm {
    service: Arc<FakeService>,
    switch: Arc<Switch>,
}

impl PlainService for ServiceOfVm {
    fn call(&self, instance: SocketAddr, call: &ServiceCall) -> Result<ServiceAnswer> {
        self.switch.pass();
        let mut inner = self.service.inner.lock();
        inner.effects.push(Effect {
            instance,
            key: call.key.clone(),
        });
        let number = inner.effects.len();
        let fault = inner.faults.pop_front();
        while inner.is_held {
            self.service.changed.wait(&mut inner);
        }
        drop(inner);
        match fault {
            Some(CallFault::LoseAnswer) => return Err(Error::unknown("the answer was lost")),
            Some(CallFault::Pause) => self.switch.pause(),
            None => {}
        }
        self.switch.pass();
        Ok(ServiceAnswer {
            status: 200,
            content_type: "application/json".into(),
            body: format!(r#"{{"effect":{number}}}"#).into_bytes(),
        })
    }
}
