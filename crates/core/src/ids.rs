//! Identifiers: names from operators and numbers that the system generates.

use serde::de::{self, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 96;

/// Why a text is not a valid identifier.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum IdError {
    /// The text is empty.
    #[error("a {kind} is empty")]
    Empty {
        /// What the text should name.
        kind: &'static str,
    },
    /// The text is longer than [`MAX_NAME_BYTES`].
    #[error("a {kind} is longer than {MAX_NAME_BYTES} bytes")]
    TooLong {
        /// What the text should name.
        kind: &'static str,
    },
    /// The text has a character outside `A-Z a-z 0-9 . _ - @`.
    #[error("a {kind} has the character {found:?}; use letters, digits and . _ - @")]
    BadCharacter {
        /// What the text should name.
        kind: &'static str,
        /// The first character that is not allowed.
        found: char,
    },
    /// The text is not a number of the expected form.
    #[error("{text:?} is not a {kind}")]
    NotANumber {
        /// What the text should name.
        kind: &'static str,
        /// The text that was given.
        text: Arc<str>,
    },
}

fn check_name(kind: &'static str, text: &str) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty { kind });
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(IdError::TooLong { kind });
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-' | '@');
    match text.chars().find(|&c| !allowed(c)) {
        Some(found) => Err(IdError::BadCharacter { kind, found }),
        None => Ok(()),
    }
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Validates `text` and creates the name.
            ///
            /// # Errors
            ///
            /// [`IdError`] when the text is empty, too long or contains a disallowed character.
            pub fn new(text: &str) -> Result<Self, IdError> {
                check_name($kind, text)?;
                Ok(Self(Arc::from(text)))
            }

            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                Self::new(text)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}({:?})", stringify!($name), &*self.0)
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                struct NameVisitor;
                impl Visitor<'_> for NameVisitor {
                    type Value = $name;

                    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                        f.write_str(concat!("a ", $kind))
                    }

                    fn visit_str<E: de::Error>(self, text: &str) -> Result<$name, E> {
                        $name::new(text).map_err(E::custom)
                    }
                }
                deserializer.deserialize_str(NameVisitor)
            }
        }
    };
}

text_id!(
    /// Name of a client account, the unit of admission, rate limits and billing.
    AccountName, "client account name"
);
text_id!(
    /// Name of a model: a family of versions behind one name.
    ModelName, "model name"
);
text_id!(
    /// Name of one version of a model.
    VersionName, "version name"
);
text_id!(
    /// Name of a pool of upstreams.
    PoolName, "pool name"
);
text_id!(
    /// Name of one upstream: a model engine or an instance of a plain service.
    UpstreamName, "upstream name"
);
text_id!(
    /// Name of a plain service.
    ServiceName, "service name"
);
text_id!(
    /// Name of one operation of a plain service.
    OperationName, "operation name"
);
text_id!(
    /// Name of a cascade; also the task class that callers name as their `model`.
    CascadeName, "cascade name"
);
text_id!(
    /// What a caller names as `model`: a cascade, a model or a version.
    TargetName, "model name"
);
text_id!(
    /// Name of a rollout.
    RolloutName, "roll-out name"
);
text_id!(
    /// Name of a region.
    RegionName, "region name"
);
text_id!(
    /// Name of a failure domain.
    DomainName, "failure domain name"
);
text_id!(
    /// Id of a process of the system; unique per process on its host (`host-3.entry`).
    HostId, "host id"
);
text_id!(
    /// Idempotency key that a caller sends with a request and its repeats.
    IdempotencyKey, "idempotency key"
);
text_id!(
    /// Name of a session.
    SessionId, "session id"
);
text_id!(
    /// Name of a secret key. The secret itself is never printed.
    KeyId, "key id"
);

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(u64);

        impl $name {
            /// Creates the id from a number.
            #[must_use]
            pub const fn new(number: u64) -> Self {
                Self(number)
            }

            /// The number.
            #[must_use]
            pub const fn get(self) -> u64 {
                self.0
            }

            /// The next number.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                let invalid = |_| IdError::NotANumber { kind: $kind, text: Arc::from(text) };
                text.parse().map(Self).map_err(invalid)
            }
        }
    };
}

number_id!(
    /// Revision of the published catalog; 0 before the first publication.
    Revision, "revision"
);
number_id!(
    /// Incarnation of a process or upstream; a later start has a higher one.
    Incarnation, "incarnation"
);
number_id!(
    /// Fencing number of a lease; increases with every new holder.
    FencingNumber, "fencing number"
);
number_id!(
    /// Sequence number of a batch or message within one incarnation.
    Sequence, "sequence number"
);

/// Id of one request. It is generated once, shared by all attempts, and billed once. The upper 48
/// bits are the creation time in milliseconds.
///
/// ```
/// use oleander_core::ids::RequestId;
/// use oleander_core::units::Timestamp;
///
/// let id = RequestId::new(Timestamp::from_millis(1_000), 7);
/// assert_eq!(id.created_at(), Timestamp::from_millis(1_000));
/// assert_eq!(id.to_string().parse::<RequestId>().unwrap(), id);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(u128);

const REQUEST_RANDOM_BITS: u32 = 80;

impl RequestId {
    /// Creates an id from the creation time and random bits, of which the low 80 are used.
    #[must_use]
    pub const fn new(created_at: crate::units::Timestamp, random: u128) -> Self {
        let low = random & ((1 << REQUEST_RANDOM_BITS) - 1);
        Self(((created_at.as_millis() as u128) << REQUEST_RANDOM_BITS) | low)
    }

    /// Creation time of the id.
    #[must_use]
    pub const fn created_at(self) -> crate::units::Timestamp {
        crate::units::Timestamp::from_millis((self.0 >> REQUEST_RANDOM_BITS) as u64)
    }

    /// The raw number, for hashing.
    #[must_use]
    pub const fn get(self) -> u128 {
        self.0
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "req-{:032x}", self.0)
    }
}

impl FromStr for RequestId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let invalid = || IdError::NotANumber { kind: "request id", text: Arc::from(text) };
        let digits = text.strip_prefix("req-").ok_or_else(invalid)?;
        if digits.len() != 32 {
            return Err(invalid());
        }
        u128::from_str_radix(digits, 16).map(Self).map_err(|_| invalid())
    }
}

impl Serialize for RequestId {
    /// As text in human-readable formats (JSON), as a number in binary formats.
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            return serializer.collect_str(self);
        }
        serializer.serialize_u128(self.0)
    }
}

impl<'de> Deserialize<'de> for RequestId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            let text = <std::borrow::Cow<'_, str>>::deserialize(deserializer)?;
            return text.parse().map_err(de::Error::custom);
        }
        u128::deserialize(deserializer).map(Self)
    }
}

/// Id of one attempt of a request, sent to the upstream and verified in its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// Number of the attempt, from 0.
    pub number: u16,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.request, self.number)
    }
}

impl FromStr for AttemptId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let invalid = || IdError::NotANumber { kind: "attempt id", text: Arc::from(text) };
        let (request, number) = text.rsplit_once('.').ok_or_else(invalid)?;
        Ok(Self { request: request.parse()?, number: number.parse().map_err(|_| invalid())? })
    }
}
