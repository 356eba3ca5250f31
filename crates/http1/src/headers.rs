//! Header fields of one head.

/// Hop-by-hop fields, which concern one connection only and are never forwarded.
const CONNECTION_FIELDS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Header fields in the order in which they were received or added.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(Vec<(String, Vec<u8>)>);

impl Headers {
    /// Adds a field behind the others.
    pub fn push(&mut self, name: impl Into<String>, value: impl Into<Vec<u8>>) {
        self.0.push((name.into(), value.into()));
    }

    /// Removes every field with a name, ignoring case.
    pub fn remove(&mut self, name: &str) {
        self.0
            .retain(|(field, _)| !field.eq_ignore_ascii_case(name));
    }

    /// Returns the value of the first field with a name, ignoring case.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        self.iter()
            .find(|(field, _)| field.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    /// Returns the value of the first field with a name as text without surrounding whitespace;
    /// none if there is no such field or the value is not UTF-8.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.get(name)
            .and_then(|value| std::str::from_utf8(value).ok())
            .map(str::trim)
    }

    /// Returns the values of all fields with a name, ignoring case.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> + 'a {
        self.iter()
            .filter(move |(field, _)| field.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    /// Returns the names and values of all fields.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.0
            .iter()
            .map(|(name, value)| (name.as_str(), value.as_slice()))
    }

    /// Returns whether the comma-separated values of a field contain a token, ignoring case.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name)
            .filter_map(|value| std::str::from_utf8(value).ok())
            .flat_map(|value| value.split(','))
            .any(|part| part.trim().eq_ignore_ascii_case(token))
    }

    /// Returns the fields that may be forwarded on another connection. The content length is also
    /// left out, since whoever encodes the message frames the body again.
    pub fn end_to_end(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.iter().filter(|(name, _)| {
            !CONNECTION_FIELDS
                .iter()
                .any(|field| field.eq_ignore_ascii_case(name))
                && !name.eq_ignore_ascii_case("content-length")
                && !self.has_token("connection", name)
        })
    }
}
