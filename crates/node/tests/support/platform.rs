//! Fakes of the VM list and the weight store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use parking_lot::Mutex;

use apricotdale_core::Error;
use apricotdale_core::Result;
use apricotdale_core::names::ModelName;
use apricotdale_core::names::VmName;
use apricotdale_core::vm_list::VmEntry;
use apricotdale_core::vm_list::VmList;
use apricotdale_core::vm_list::VmListing;
use apricotdale_core::vm_list::VmRole;
use apricotdale_core::vm_list::VmState;
use apricotdale_core::weights::WeightStore;
use apricotdale_core::weights::WeightsStatus;

use super::clock::WorldTime;
use super::switch::Switch;

/// Initial delay of the list, in milliseconds.
const DELAY_MS: u64 = 20;

/// In-memory VM list.
pub struct FakeVmList {
    entries: Mutex<Vec<VmEntry>>,
    /// States of entries shown to single VMs, since the delay of the list differs between VMs.
    shown: Mutex<BTreeMap<(VmName, String), VmState>>,
    delay_ms: AtomicU64,
    time: Arc<WorldTime>,
}

impl FakeVmList {
    pub fn new(time: &Arc<WorldTime>) -> Self {
        Self {
            entries: Mutex::default(),
            shown: Mutex::default(),
            delay_ms: AtomicU64::new(DELAY_MS),
            time: Arc::clone(time),
        }
    }

    /// Adds an upstream, or an entry VM once its addresses are known.
    pub fn put(
        &self,
        name: &str,
        role: VmRole,
        group: &str,
        address: SocketAddr,
        peer_address: Option<SocketAddr>,
    ) {
        let entry = VmEntry {
            name: name.into(),
            role,
            group: group.into(),
            zone: "hall-a".into(),
            address,
            peer_address,
            state: VmState::Live,
        };
        let mut entries = self.entries.lock();
        entries.retain(|known| known.name != name);
        entries.push(entry);
    }

    pub fn set_state(&self, name: &str, state: VmState) {
        let mut entries = self.entries.lock();
        let entry = entries.iter_mut().find(|entry| entry.name == name);
        entry.expect("a listed VM").state = state;
    }

    /// Sets the delay of the list.
    pub fn set_delay(&self, delay_ms: u64) {
        self.delay_ms.store(delay_ms, Ordering::SeqCst);
    }

    /// Shows one VM another state of an entry than all others.
    pub fn show(&self, vm: &VmName, name: &str, state: VmState) {
        let shown = (vm.clone(), name.to_owned());
        self.shown.lock().insert(shown, state);
    }

    /// Shows all VMs the same states again.
    pub fn show_all_alike(&self) {
        self.shown.lock().clear();
    }

    fn entries_for(&self, vm: &VmName) -> Vec<VmEntry> {
        let (mut entries, shown) = (self.entries.lock().clone(), self.shown.lock());
        for entry in &mut entries {
            let shown = shown.get(&(vm.clone(), entry.name.clone()));
            entry.state = shown.copied().unwrap_or(entry.state);
        }
        entries
    }

    /// Returns a client through which one VM reads the list.
    pub fn client(self: &Arc<Self>, vm: &VmName, switch: &Arc<Switch>) -> VmListOfVm {
        VmListOfVm {
            list: Arc::clone(self),
            vm: vm.clone(),
            switch: Arc::clone(switch),
        }
    }
}

/// Client through which one daemon reads the list.
pub struct VmListOfVm {
    list: Arc<FakeVmList>,
    vm: VmName,
    switch: Arc<Switch>,
}

impl VmList for VmListOfVm {
    fn list(&self) -> Result<VmListing> {
        self.switch.pass();
        let listing = VmListing {
            as_of_ms: self.list.time.unix_ms() - self.list.delay_ms.load(Ordering::SeqCst),
            entries: self.list.entries_for(&self.vm),
        };
        self.switch.pass();
        Ok(listing)
    }
}

/// Weight store without active loads.
pub struct IdleWeightStore;

impl WeightStore for IdleWeightStore {
    fn status(&self) -> Result<WeightsStatus> {
        Ok(WeightsStatus {
            active_loads: 0,
            full_speed_loads: 4,
            loads_per_s: 15,
        })
    }

    fn size_bytes(&self, _model: &ModelName) -> Result<u64> {
        Err(Error::rejected("the daemon asks for no size"))
    }
}
