//! Header fields as they arrived.

use bytes::{BufMut, Bytes, BytesMut};

/// One header field.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Field {
    /// Name in the case in which it arrived.
    pub name: Bytes,
    /// Value without surrounding white space.
    pub value: Bytes,
}

/// The header fields of a message in their order.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Fields(Vec<Field>);

/// Fields that concern one connection only and are not passed on.
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
    /// Adds a field at the end.
    pub fn push(&mut self, name: impl Into<Bytes>, value: impl Into<Bytes>) {
        self.0.push(Field {
            name: name.into(),
            value: value.into(),
        });
    }

    /// Returns the value of the first field with a name, compared without case.
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

    /// Returns the value of the first field with a name if it is text.
    #[must_use]
    pub fn text(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.get(name)?).ok()
    }

    /// Returns the values of all fields with a name.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> + 'a {
        let named = move |field: &&Field| field.name.eq_ignore_ascii_case(name.as_bytes());
        self.0.iter().filter(named).map(|field| &field.value[..])
    }

    /// Returns all fields in their order.
    pub fn iter(&self) -> impl Iterator<Item = &Field> {
        self.0.iter()
    }

    /// Removes all fields with a name.
    pub fn remove(&mut self, name: &str) {
        self.0
            .retain(|field| !field.name.eq_ignore_ascii_case(name.as_bytes()));
    }

    /// Returns whether a comma-separated field lists a word, compared without case.
    #[must_use]
    pub fn lists(&self, name: &str, word: &str) -> bool {
        let words = self.all(name).flat_map(|value| value.split(|b| *b == b','));
        words
            .map(<[u8]>::trim_ascii)
            .any(|found| found.eq_ignore_ascii_case(word.as_bytes()))
    }

    /// Removes what concerns only the connection on which the message arrived, including the
    /// fields that `Connection` names.
    pub fn strip_hop_by_hop(&mut self) {
        let named: Vec<Vec<u8>> = self
            .all("connection")
            .flat_map(|value| value.split(|b| *b == b','))
            .map(|word| word.trim_ascii().to_vec())
            .collect();
        self.0.retain(|field| {
            let name = &field.name;
            let is = |other: &[u8]| name.eq_ignore_ascii_case(other);
            !HOP_BY_HOP.iter().any(|hop| is(hop.as_bytes())) && !named.iter().any(|word| is(word))
        });
    }

    /// Writes the fields, each with its line end.
    pub fn write(&self, out: &mut BytesMut) {
        for field in &self.0 {
            out.put_slice(&field.name);
            out.put_slice(b": ");
            out.put_slice(&field.value);
            out.put_slice(b"\r\n");
        }
    }
}
