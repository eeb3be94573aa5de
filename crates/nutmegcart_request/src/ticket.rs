//! Tickets and other identifiers of operations.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use derive_more::Display;
use derive_more::Error;
use nutmegcart_model::CallerName;
use nutmegcart_model::DataCentre;
use nutmegcart_model::Incarnation;
use nutmegcart_model::InstanceId;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

/// Maximum length of an operation header and of a plain key.
pub const MAX_IDENTIFIER_BYTES: usize = 512;

/// Result of parsing or creating an identifier.
pub type Result<T> = std::result::Result<T, MalformedIdentifier>;

/// The text is not a valid ticket, operation header or plain key.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("the operation identifier is malformed")]
pub struct MalformedIdentifier;

/// Permission for a caller to number its requests under the issuing incarnation, which alone
/// dispatches them.
///
/// ```
/// # use nutmegcart_request::Ticket;
/// let text = "suva.entry.3.00000000000000ff.7.-";
/// let ticket: Ticket = text.parse().unwrap();
/// assert_eq!(&*ticket.instance, "entry.3");
/// assert_eq!(ticket.to_string(), text);
/// ```
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Ticket {
    /// Data centre of the owner; contains no dot.
    pub centre: DataCentre,
    /// Entry instance that issued the ticket.
    pub instance: InstanceId,
    /// Incarnation that issued the ticket.
    pub incarnation: Incarnation,
    /// Number of the ticket, ascending within the incarnation.
    pub serial: u64,
    /// Incarnation that records the intent of every request under the ticket, if there is one.
    pub witness: Option<Incarnation>,
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            centre,
            instance,
            incarnation,
            serial,
            ..
        } = self;
        write!(f, "{centre}.{instance}.{incarnation}.{serial}.")?;
        match self.witness {
            Some(witness) => write!(f, "{witness}"),
            None => write!(f, "-"),
        }
    }
}

impl FromStr for Ticket {
    type Err = MalformedIdentifier;

    fn from_str(text: &str) -> Result<Self> {
        if text.len() > MAX_IDENTIFIER_BYTES {
            return Err(MalformedIdentifier);
        }
        let (centre, rest) = text.split_once('.').ok_or(MalformedIdentifier)?;
        let mut fields = rest.rsplitn(4, '.');
        let mut field = || fields.next().filter(|field| !field.is_empty());
        let witness = match field().ok_or(MalformedIdentifier)? {
            "-" => None,
            witness => Some(parse_incarnation(witness)?),
        };
        let serial = parse_decimal(field().ok_or(MalformedIdentifier)?)?;
        let issuer = parse_incarnation(field().ok_or(MalformedIdentifier)?)?;
        let instance = field().ok_or(MalformedIdentifier)?;
        if centre.is_empty() {
            return Err(MalformedIdentifier);
        }
        Ok(Self {
            centre: centre.into(),
            instance: instance.into(),
            incarnation: issuer,
            serial,
            witness,
        })
    }
}

/// Accepts only the canonical form, so that an operation cannot have two different texts.
fn parse_incarnation(text: &str) -> Result<Incarnation> {
    let value: Incarnation = text.parse().map_err(|_| MalformedIdentifier)?;
    (value.to_string() == text)
        .then_some(value)
        .ok_or(MalformedIdentifier)
}

fn parse_decimal(text: &str) -> Result<u64> {
    let value: u64 = text.parse().map_err(|_| MalformedIdentifier)?;
    (value.to_string() == text)
        .then_some(value)
        .ok_or(MalformedIdentifier)
}

/// Content of the header `Nutmegcart-Operation`.
///
/// ```
/// # use nutmegcart_request::TicketedOperation;
/// let operation: TicketedOperation = "suva.e1.00000000000000ff.7.-/3".parse().unwrap();
/// assert_eq!((operation.ticket.serial, operation.number), (7, 3));
/// ```
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct TicketedOperation {
    /// Ticket under which the request is numbered.
    pub ticket: Ticket,
    /// Number that the caller assigned to the request, ascending under the ticket.
    pub number: u64,
}

impl TicketedOperation {
    /// Returns the identifier of the operation in a ledger.
    #[must_use]
    pub fn id(&self) -> OperationId {
        OperationId::Ticket(TicketOperationId {
            owner: self.ticket.incarnation,
            serial: self.ticket.serial,
            number: self.number,
        })
    }
}

impl FromStr for TicketedOperation {
    type Err = MalformedIdentifier;

    fn from_str(text: &str) -> Result<Self> {
        let (ticket, number) = text.rsplit_once('/').ok_or(MalformedIdentifier)?;
        Ok(Self {
            ticket: ticket.parse()?,
            number: parse_decimal(number)?,
        })
    }
}

/// Identifies a request under a ticket; the other fields of a ticket are only used for routing.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct TicketOperationId {
    /// Incarnation that issued the ticket.
    pub owner: Incarnation,
    /// Number of the ticket under its owner.
    pub serial: u64,
    /// Number of the request under its ticket.
    pub number: u64,
}

/// Identifies an operation in a ledger.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub enum OperationId {
    /// A numbered request under a ticket.
    Ticket(TicketOperationId),
    /// A plain key, prefixed with its caller.
    Key(Arc<str>),
}

impl OperationId {
    /// Creates the identifier of a plain key; the same key of two callers gives two operations.
    ///
    /// # Errors
    ///
    /// Returns an error if the key is empty or longer than [`MAX_IDENTIFIER_BYTES`].
    ///
    /// ```
    /// # use nutmegcart_request::OperationId;
    /// let [a, b] = ["a", "b"].map(|caller| OperationId::key(&caller.into(), "k").unwrap());
    /// assert_ne!(a, b);
    /// ```
    pub fn key(caller: &CallerName, key: &str) -> Result<Self> {
        if key.is_empty() || key.len() > MAX_IDENTIFIER_BYTES {
            return Err(MalformedIdentifier);
        }
        // The length prefix distinguishes caller `a` with key `bc` from caller `ab` with key `c`.
        Ok(Self::Key(format!("{}:{caller}{key}", caller.len()).into()))
    }
}

/// Returns a hash of a request that reveals the reuse of its identifier for another request.
///
/// ```
/// # use nutmegcart_request::fingerprint;
/// assert_ne!(fingerprint(&[b"a", b"bc"]), fingerprint(&[b"ab", b"c"]));
/// ```
#[must_use]
pub fn fingerprint(parts: &[&[u8]]) -> u64 {
    let mut hash = Xxh3::new();
    for part in parts {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.digest()
}
