//! Encoding of names in URL paths.

use percent_encoding::AsciiSet;
use percent_encoding::NON_ALPHANUMERIC;
use percent_encoding::utf8_percent_encode;

/// Characters that are percent-encoded in a path segment: all but the unreserved ones.
const ESCAPED_CHARS: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// Encodes a name as one path segment. A slash or question mark in the name would otherwise change
/// the meaning of the path.
pub(crate) fn segment(name: &str) -> String {
    utf8_percent_encode(name, ESCAPED_CHARS).to_string()
}
