//! Header fields in the order in which they came.

/// Fields that concern one connection only and are never passed on.
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

/// `Headers` are the fields of one head.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(Vec<(String, Vec<u8>)>);

impl Headers {
    /// Adds a field.
    pub fn push(&mut self, name: impl Into<String>, value: impl Into<Vec<u8>>) {
        self.0.push((name.into(), value.into()));
    }

    /// Removes every field of a name, whatever its case.
    pub fn remove(&mut self, name: &str) {
        self.0
            .retain(|(field, _)| !field.eq_ignore_ascii_case(name));
    }

    /// Returns the first value of a field, whatever the case of its name.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        self.iter()
            .find(|(field, _)| field.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    /// Returns the first value of a field as text without surrounding blanks.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.get(name)
            .and_then(|value| std::str::from_utf8(value).ok())
            .map(str::trim)
    }

    /// Returns every value of a field.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> + 'a {
        self.iter()
            .filter(move |(field, _)| field.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    /// Returns every field.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.0
            .iter()
            .map(|(name, value)| (name.as_str(), value.as_slice()))
    }

    /// Returns whether a comma-separated field holds a token, whatever its case.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name)
            .filter_map(|value| std::str::from_utf8(value).ok())
            .flat_map(|value| value.split(','))
            .any(|part| part.trim().eq_ignore_ascii_case(token))
    }

    /// Returns the fields that may be passed on to another connection. The body's length is left
    /// out too: whoever writes the message frames it anew.
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
