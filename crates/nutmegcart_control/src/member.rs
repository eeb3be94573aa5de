//! Records of the instances in the store.

use std::net::SocketAddr;

use nutmegcart_jobs::record::decode_extended;
use nutmegcart_jobs::record::encode;
use serde::Deserialize;
use serde::Serialize;

/// Record of an instance in the store, under its name.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Address for peers.
    pub peer: SocketAddr,
    /// Processor time that the instance may use, in cores.
    pub cores: f64,
    /// Form of the cell state that it reads; 0 for versions that do not state it.
    #[serde(skip)]
    pub state_format: u32,
}

impl MemberRecord {
    /// Encodes the record. The form of the cell state follows it, where versions without that do not
    /// read.
    ///
    /// ```
    /// # use nutmegcart_control::member::MemberRecord;
    /// # use nutmegcart_jobs::record::{decode, encode};
    /// let peer = "127.0.0.1:1".parse().unwrap();
    /// let record = MemberRecord { peer, cores: 0.5, state_format: 1 };
    /// assert_eq!(MemberRecord::decode(&record.encode()).unwrap(), record);
    /// let before = MemberRecord { state_format: 0, ..record };
    /// assert_eq!(decode::<MemberRecord>(&record.encode()).unwrap(), before);
    /// assert_eq!(MemberRecord::decode(&encode(&before)).unwrap(), before);
    /// ```
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = encode(self);
        bytes.extend(encode(&self.state_format));
        bytes
    }

    /// Decodes a record of this version or of one before.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are malformed or a newer program wrote them.
    pub fn decode(bytes: &[u8]) -> nutmegcart_jobs::record::Result<Self> {
        let (record, state_format) = decode_extended::<Self, u32>(bytes)?;
        Ok(Self {
            state_format: state_format.first().copied().unwrap_or_default(),
            ..record
        })
    }
}
