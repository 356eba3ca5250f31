//! Client of the platform's VM list over HTTP.

use std::sync::Arc;

use parking_lot::Mutex;

use crate::options::HttpOptions;
use crate::options::VmListOptions;
use crate::reader::FetchedAnswer;
use crate::reader::NOT_MODIFIED;
use crate::reader::Reader;
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
    cached: Arc<Mutex<Option<CachedListing>>>,
}

#[derive(Clone, Debug)]
struct CachedListing {
    tag: String,
    listing: VmListing,
}

impl HttpVmList {
    /// Returns a client of the VM list at the address in the options.
    pub fn new(http: &HttpOptions, options: &VmListOptions) -> Self {
        Self {
            options: options.clone(),
            reader: Reader::new(http, options.answer_limit_bytes),
            cached: Arc::default(),
        }
    }

    /// Returns the cached VM list with the time in the headers of an answer without a body.
    fn cached_listing(&self, fetched: &FetchedAnswer) -> Result<VmListing> {
        let as_of_ms = fetched
            .header(AS_OF_HEADER)
            .and_then(|text| text.parse().ok());
        let cached = self.cached.lock();
        match (&*cached, as_of_ms) {
            (Some(cached), Some(as_of_ms)) => Ok(VmListing {
                as_of_ms,
                ..cached.listing.clone()
            }),
            _ => Err(Error::malformed("an unchanged list without its time")),
        }
    }

    fn store_listing(&self, fetched: &FetchedAnswer) -> Result<VmListing> {
        let listing: VmListing = fetched.json()?;
        let tag = fetched.header("ETag").map(str::to_owned);
        *self.cached.lock() = tag.map(|tag| CachedListing {
            tag,
            listing: listing.clone(),
        });
        Ok(listing)
    }
}

impl VmList for HttpVmList {
    fn list(&self) -> Result<VmListing> {
        let options = &self.options;
        let tag = self.cached.lock().as_ref().map(|cached| cached.tag.clone());
        let fetched = self.reader.get_if_changed(
            options.address,
            "/vms",
            tag.as_deref(),
            options.timeout_ms,
        )?;
        match fetched.status {
            NOT_MODIFIED => self.cached_listing(&fetched),
            _ => self.store_listing(&fetched),
        }
    }
}
