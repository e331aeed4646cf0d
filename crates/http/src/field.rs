//! Header fields in the order and case in which they arrived.

use bytes::{BufMut, Bytes, BytesMut};

/// One header field.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Field {
    /// Name in the case in which it arrived.
    pub name: Bytes,
    /// Value without surrounding whitespace.
    pub value: Bytes,
}

/// The header fields of a message, in order.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Fields(Vec<Field>);

/// Fields that apply to a single connection or to the framing, and are not forwarded.
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

impl Fields {
    /// Appends a field.
    pub fn push(&mut self, name: impl Into<Bytes>, value: impl Into<Bytes>) {
        self.0.push(Field {
            name: name.into(),
            value: value.into(),
        });
    }

    /// Returns the value of the first field with a name. Names are compared case-insensitively.
    ///
    /// ```
    /// let mut fields = tsw_http::field::Fields::default();
    /// fields.push("Content-Type", "text/plain");
    /// assert_eq!(fields.get("content-type"), Some(&b"text/plain"[..]));
    /// ```
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        let named = |field: &&Field| field.name.eq_ignore_ascii_case(name.as_bytes());
        self.0.iter().find(named).map(|field| &field.value[..])
    }

    /// Returns the value of the first field with a name if it is valid UTF-8.
    #[must_use]
    pub fn text(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.get(name)?).ok()
    }

    /// Returns the values of all fields with a name.
    pub fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> + 'a {
        let named = move |field: &&Field| field.name.eq_ignore_ascii_case(name.as_bytes());
        self.0.iter().filter(named).map(|field| &field.value[..])
    }

    /// Returns all fields in order.
    pub fn iter(&self) -> impl Iterator<Item = &Field> {
        self.0.iter()
    }

    /// Removes all fields with a name.
    pub fn remove(&mut self, name: &str) {
        self.0
            .retain(|field| !field.name.eq_ignore_ascii_case(name.as_bytes()));
    }

    /// Returns whether a comma-separated field contains a token, compared case-insensitively.
    #[must_use]
    pub fn contains_token(&self, name: &str, token: &str) -> bool {
        let tokens = self
            .get_all(name)
            .flat_map(|value| value.split(|b| *b == b','));
        tokens
            .map(<[u8]>::trim_ascii)
            .any(|found| found.eq_ignore_ascii_case(token.as_bytes()))
    }

    /// Removes the hop-by-hop fields, including those named by `Connection`.
    pub fn strip_hop_by_hop(&mut self) {
        let named: Vec<Vec<u8>> = self
            .get_all("connection")
            .flat_map(|value| value.split(|b| *b == b','))
            .map(|token| token.trim_ascii().to_vec())
            .collect();
        self.0.retain(|field| {
            let name = &field.name;
            let is = |other: &[u8]| name.eq_ignore_ascii_case(other);
            !HOP_BY_HOP.iter().any(|hop| is(hop.as_bytes())) && !named.iter().any(|token| is(token))
        });
    }

    /// Writes the fields, each followed by CRLF.
    pub fn write(&self, out: &mut BytesMut) {
        for field in &self.0 {
            out.put_slice(&field.name);
            out.put_slice(b": ");
            out.put_slice(&field.value);
            out.put_slice(b"\r\n");
        }
    }
}
