//! Client of the platform's VM list over HTTP.

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

/// Header with the time that the VM list refers to.
const AS_OF_HEADER: &str = "X-As-Of-Ms";

/// Client of the platform's VM list over HTTP.
///
/// It caches the last VM list with its entity tag and reads the body again only if the list has
/// changed. A list of a thousand entries has some 200 KB: reading that every second would be fifty
/// times what a VM may spend on all its control traffic.
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
    /// Returns a client of the VM list at the address in the options.
    pub fn new(http: &HttpOptions, options: &VmListOptions) -> Self {
        Self {
            options: options.clone(),
            reader: Reader::new(http, options.answer_limit_bytes),
            known: Arc::default(),
        }
    }

    /// Returns the cached VM list with the time in the headers of an answer without a body.
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
