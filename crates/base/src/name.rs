//! Validated, immutable names that are cheap to clone.
//!
//! A name has 1 to [`MAX_LEN`] bytes, each a lower-case ASCII letter, a digit, `-`, `_` or `.`.
//! Cloning a name copies a reference-counted pointer.

use std::{borrow::Borrow, fmt, str::FromStr, sync::Arc};

use serde::{de, Deserialize, Deserializer, Serialize, Serializer};

/// Maximum length of a name in bytes.
pub const MAX_LEN: usize = 63;

/// Reasons why a text is not a valid name.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The text is empty.
    #[error("a name must not be empty")]
    Empty,
    /// The text is longer than [`MAX_LEN`] bytes.
    #[error("the name has {len} bytes; at most {MAX_LEN} are allowed")]
    TooLong {
        /// Length of the text in bytes.
        len: usize,
    },
    /// The text contains a character that is not allowed in names.
    #[error("the name {text:?} contains {character:?}; allowed are a-z, 0-9, '-', '_' and '.'")]
    InvalidCharacter {
        /// The rejected text.
        text: String,
        /// The first character that is not allowed.
        character: char,
    },
}

fn validate(text: &str) -> Result<(), Error> {
    if text.is_empty() {
        return Err(Error::Empty);
    }
    if text.len() > MAX_LEN {
        return Err(Error::TooLong { len: text.len() });
    }
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
    match text.chars().find(|c| !allowed(*c)) {
        Some(character) => Err(Error::InvalidCharacter {
            text: text.to_owned(),
            character,
        }),
        None => Ok(()),
    }
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                validate(text)?;
                Ok(Self(Arc::from(text)))
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&self.0, f)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = String::deserialize(deserializer)?;
                text.parse().map_err(de::Error::custom)
            }
        }
    };
}

name!(
    /// Name of a failure domain.
    Domain
);
name!(
    /// Name of a host that runs a router.
    Host
);
name!(
    /// Name of a model, an adapter or a version of either.
    Model
);
name!(
    /// Name of a service that upstreams offer.
    Service
);
name!(
    /// Name of a team.
    Team
);
name!(
    /// Name of an upstream: one model engine or one worker of a plain service.
    Upstream
);
