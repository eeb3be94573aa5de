//! Runner answers as stored in the ledger for retries.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;
use serde::de::SeqAccess;
use serde::de::Visitor;

/// Shared bytes that are serialised as a byte string, not as a sequence of numbers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Bytes(pub Arc<[u8]>);

impl From<Vec<u8>> for Bytes {
    fn from(bytes: Vec<u8>) -> Self {
        Self(bytes.into())
    }
}

impl Serialize for Bytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

struct BytesVisitor;

impl<'de> Visitor<'de> for BytesVisitor {
    type Value = Bytes;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("bytes")
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Bytes, E> {
        Ok(Bytes(bytes.into()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Bytes, A::Error> {
        let mut bytes = Vec::new();
        while let Some(byte) = items.next_element()? {
            bytes.push(byte);
        }
        Ok(bytes.into())
    }
}

impl<'de> Deserialize<'de> for Bytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_bytes(BytesVisitor)
    }
}

/// A runner's complete answer.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Header fields that are passed on to the caller, as name and value.
    pub headers: Vec<(String, String)>,
    /// Body as received from the runner.
    pub body: Bytes,
}

impl Answer {
    /// Returns the size in bytes that counts towards the limits: body, header names and values.
    #[must_use]
    pub fn size(&self) -> usize {
        let header = |(name, value): &(String, String)| name.len() + value.len();
        self.body.0.len() + self.headers.iter().map(header).sum::<usize>()
    }
}
