//! The platform's list of VMs over HTTP.

use apricotdale_core::errors::Result;
use apricotdale_core::vm_list::VmList;
use apricotdale_core::vm_list::VmListing;

use crate::options::HttpOptions;
use crate::options::VmListOptions;
use crate::reading::Reader;

/// `HttpVmList` reads the list of VMs over HTTP.
#[derive(Clone, Debug)]
pub struct HttpVmList {
    options: VmListOptions,
    reader: Reader,
}

impl HttpVmList {
    /// Returns an adapter for the list at the address in the options.
    pub fn new(http: &HttpOptions, options: &VmListOptions) -> Self {
        Self {
            options: options.clone(),
            reader: Reader::new(http, options.answer_limit_bytes),
        }
    }
}

impl VmList for HttpVmList {
    fn list(&self) -> Result<VmListing> {
        let options = &self.options;
        self.reader
            .get(options.address, "/vms", options.timeout_ms)?
            .json()
    }
}
