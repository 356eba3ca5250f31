//! Paths with names in them.

use percent_encoding::AsciiSet;
use percent_encoding::NON_ALPHANUMERIC;
use percent_encoding::utf8_percent_encode;

/// What stands for itself in one segment of a path.
const ESCAPED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// Returns the name as one segment of a path. A name may hold slashes or question marks; written
/// as they are, these would make a path that means something else.
pub(crate) fn segment(name: &str) -> String {
    utf8_percent_encode(name, ESCAPED).to_string()
}
