//! The platform's list of VMs over HTTP.

use std::sync::Arc;

use parking_lot::Mutex;

use crate::options::HttpOptions;
use crate::options::VmListOptions;
use crate::reading::NOT_MODIFIED;
use crate::reading::Page;
use crate::reading::Reader;
use apricotdale_core::errors::Error;
use apricotdale_core::errors::Result;
use apricotdale_core::vm_list::VmList;
use apricotdale_core::vm_list::VmListing;

/// The header with the time of which the list speaks.
const AS_OF_HEADER: &str = "X-As-Of-Ms";

/// `HttpVmList` reads the list of VMs over HTTP.
///
/// It keeps the last list with its entity tag and reads it again only if it has changed. A list of
/// a thousand entries is some 200 KB, and one reading a second of that is fifty times what a VM may
/// spend on all its control traffic.
#[derive(Clone, Debug)]
pub struct HttpVmList {
    options: VmListOptions,
    reader: Reader,
    known: Arc<Mutex<Option<Known>>>,
}

#[derive(Clone, Debug)]
struct Known {
    tag: String,
    listing: VmListing,
}

impl HttpVmList {
    /// Returns an adapter for the list at the address in the options.
    pub fn new(http: &HttpOptions, options: &VmListOptions) -> Self {
        Self {
            options: options.clone(),
            reader: Reader::new(http, options.answer_limit_bytes),
            known: Arc::default(),
        }
    }

    /// Returns the known list as of the time that an answer without a body tells.
    fn still(&self, page: &Page) -> Result<VmListing> {
        let as_of_ms = page.header(AS_OF_HEADER).and_then(|text| text.parse().ok());
        let known = self.known.lock();
        match (&*known, as_of_ms) {
            (Some(known), Some(as_of_ms)) => Ok(VmListing {
                as_of_ms,
                ..known.listing.clone()
            }),
            _ => Err(Error::malformed("an unchanged list without its time")),
        }
    }

    fn changed(&self, page: &Page) -> Result<VmListing> {
        let listing: VmListing = page.json()?;
        let tag = page.header("ETag").map(str::to_owned);
        *self.known.lock() = tag.map(|tag| Known {
            tag,
            listing: listing.clone(),
        });
        Ok(listing)
    }
}

impl VmList for HttpVmList {
    fn list(&self) -> Result<VmListing> {
        let options = &self.options;
        let tag = self.known.lock().as_ref().map(|known| known.tag.clone());
        let page =
            self.reader
                .get_unless(options.address, "/vms", tag.as_deref(), options.timeout_ms)?;
        match page.status {
            NOT_MODIFIED => self.still(&page),
            _ => self.changed(&page),
        }
    }
}
