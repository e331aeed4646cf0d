//! Permits and the idempotency keys that callers derive from them.

use std::{fmt, str::FromStr, sync::Arc};

use base64::{engine::general_purpose::URL_SAFE_NO_PAD, Engine};
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use tsw_base::{
    host, name,
    time::{Span, Timestamp},
};

/// Maximum number of witnesses of a permit.
pub const MAX_WITNESSES: usize = 2;

/// Maximum length of the suffix of a key, in bytes.
pub const MAX_SUFFIX_LEN: usize = 64;

/// Maximum length of a key in text form, in bytes.
pub const MAX_KEY_LEN: usize = 2_048;

/// Domain separation: prefix of the authenticated bytes, so that a permit tag cannot be mistaken
/// for another use of the same secret.
const TAG_DOMAIN: &[u8] = b"toucanswitch permit 1";

/// Authorizes a team to send non-idempotent calls to a service, and names the only router that may
/// run the calls whose keys start with it.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Permit {
    /// The router that issued the permit; no other router may run its keys.
    pub owner: host::Id,
    /// The peers that must all accept an intent before the owner runs a key. At most
    /// [`MAX_WITNESSES`].
    pub witnesses: Vec<host::Id>,
    /// The team that may use the permit.
    pub team: name::Team,
    /// The service that may be called with the permit.
    pub service: name::Service,
    /// Number that increases within the owner's incarnation and is derived from the wall-clock time
    /// of issue, so that a witness can represent all old permits by the highest number.
    pub number: u64,
    /// When the permit expires, on the owner's monotonic clock. Other routers cannot compare it
    /// with their clocks.
    pub expires: Span,
    /// HMAC-SHA-256 over the other fields.
    pub tag: [u8; 32],
}

/// An idempotency key: a permit and a suffix that the caller chooses.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Key {
    /// The permit.
    pub permit: Permit,
    /// Distinguishes the keys of one permit.
    pub suffix: Arc<str>,
}

/// Identity of a key: two keys are the same if these fields are equal.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Id {
    /// Owner of the permit.
    pub owner: host::Id,
    /// Number of the permit.
    pub number: u64,
    /// Suffix of the key.
    pub suffix: Arc<str>,
}

/// Why a text is not a key, or why a key is not valid.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The key is longer than [`MAX_KEY_LEN`] bytes.
    #[error("the key has {len} bytes; at most {MAX_KEY_LEN} are allowed")]
    TooLong {
        /// Length of the text in bytes.
        len: usize,
    },
    /// The key has no dot between permit and suffix.
    #[error("the key has no dot between permit and suffix")]
    MissingDot,
    /// The suffix is empty, too long or has a character other than letters, digits and `-_.~`.
    #[error("the suffix of the key must be 1 to {MAX_SUFFIX_LEN} letters, digits or -_.~")]
    InvalidSuffix,
    /// The permit cannot be decoded.
    #[error("the permit in the key cannot be decoded")]
    InvalidPermit,
    /// The tag does not match: the permit was not issued by this fleet, or was changed.
    #[error("the permit in the key was not issued by this fleet")]
    InvalidTag,
    /// The permit is for another team or service.
    #[error("the permit in the key is for team {team} and service {service}")]
    WrongScope {
        /// The team of the permit.
        team: name::Team,
        /// The service of the permit.
        service: name::Service,
    },
}

impl Key {
    /// Returns the identity of this key.
    #[must_use]
    pub fn id(&self) -> Id {
        Id {
            owner: self.permit.owner.clone(),
            number: self.permit.number,
            suffix: self.suffix.clone(),
        }
    }
}

impl fmt::Display for Permit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let bytes = postcard::to_stdvec(self).map_err(|_| fmt::Error)?;
        f.write_str(&URL_SAFE_NO_PAD.encode(bytes))
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.permit, self.suffix)
    }
}

impl FromStr for Key {
    type Err = Error;

    /// Parses a key as callers send it. The permit still has to pass [`Signer::verify`].
    fn from_str(text: &str) -> Result<Self, Error> {
        if text.len() > MAX_KEY_LEN {
            return Err(Error::TooLong { len: text.len() });
        }
        let (permit, suffix) = text.split_once('.').ok_or(Error::MissingDot)?;
        let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.~".contains(&b);
        if suffix.is_empty() || suffix.len() > MAX_SUFFIX_LEN || !suffix.bytes().all(allowed) {
            return Err(Error::InvalidSuffix);
        }
        let bytes = URL_SAFE_NO_PAD
            .decode(permit)
            .map_err(|_| Error::InvalidPermit)?;
        let permit: Permit = postcard::from_bytes(&bytes).map_err(|_| Error::InvalidPermit)?;
        Ok(Self {
            permit,
            suffix: Arc::from(suffix),
        })
    }
}

/// Signs and verifies permits with the secret that the whole fleet shares.
#[derive(Clone)]
pub struct Signer {
    secret: [u8; 32],
}

impl fmt::Debug for Signer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Signer")
    }
}

impl Signer {
    /// Creates a signer with the fleet's secret.
    #[must_use]
    pub const fn new(secret: [u8; 32]) -> Self {
        Self { secret }
    }

    fn mac(&self, permit: &Permit) -> Option<Hmac<Sha256>> {
        let Permit {
            owner,
            witnesses,
            team,
            service,
            number,
            expires,
            tag: _,
        } = permit;
        let fields = (owner, witnesses, team, service, number, expires);
        let bytes = postcard::to_stdvec(&fields).ok()?;
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.secret).ok()?;
        mac.update(TAG_DOMAIN);
        mac.update(&bytes);
        Some(mac)
    }

    /// Returns the permit with its tag set.
    #[must_use]
    pub fn sign(&self, mut permit: Permit) -> Permit {
        if let Some(mac) = self.mac(&permit) {
            permit.tag = mac.finalize().into_bytes().into();
        }
        permit
    }

    /// Checks that this fleet issued the permit of a key, for this team and service.
    ///
    /// # Errors
    ///
    /// Returns [`Error::InvalidTag`] if the tag does not match, [`Error::InvalidPermit`] if the
    /// permit has more than [`MAX_WITNESSES`] witnesses, and [`Error::WrongScope`] if it is for
    /// another team or service.
    pub fn verify(
        &self,
        key: &Key,
        team: &name::Team,
        service: &name::Service,
    ) -> Result<(), Error> {
        let permit = &key.permit;
        let mac = self.mac(permit).ok_or(Error::InvalidTag)?;
        mac.verify_slice(&permit.tag)
            .map_err(|_| Error::InvalidTag)?;
        if permit.witnesses.len() > MAX_WITNESSES {
            return Err(Error::InvalidPermit);
        }
        if permit.team != *team || permit.service != *service {
            return Err(Error::WrongScope {
                team: permit.team.clone(),
                service: permit.service.clone(),
            });
        }
        Ok(())
    }
}

/// Issues the permits of one router process.
///
/// ```
/// use tsw_base::{host, time};
/// use tsw_once::permit;
///
/// let owner = host::Id {
///     host: "r1".parse()?,
///     incarnation: host::Incarnation::new(1, 0),
/// };
/// let signer = permit::Signer::new([7; 32]);
/// let mut issuer = permit::Issuer::new(signer.clone(), owner, time::Span::from_secs(300));
/// let (team, service) = ("counter".parse()?, "pickups".parse()?);
/// let permit = issuer.issue(time::Timestamp::ZERO, 1_000, &team, &service, Vec::new());
/// let key: permit::Key = format!("{permit}.first").parse().unwrap();
/// assert_eq!(signer.verify(&key, &team, &service), Ok(()));
/// # Ok::<(), tsw_base::name::Error>(())
/// ```
#[derive(Clone, Debug)]
pub struct Issuer {
    signer: Signer,
    owner: host::Id,
    lifetime: Span,
    number: u64,
}

impl Issuer {
    /// Creates the issuer of a router process. Its permits expire `lifetime` after they are issued.
    #[must_use]
    pub const fn new(signer: Signer, owner: host::Id, lifetime: Span) -> Self {
        Self {
            signer,
            owner,
            lifetime,
            number: 0,
        }
    }

    /// Issues a permit at `now`; `unix_millis` is the same moment in milliseconds since the Unix
    /// epoch.
    ///
    /// Witnesses beyond [`MAX_WITNESSES`] are dropped.
    ///
    /// Safety does not depend on the wall clock: permit numbers increase even when it is set back.
    pub fn issue(
        &mut self,
        now: Timestamp,
        unix_millis: u64,
        team: &name::Team,
        service: &name::Service,
        mut witnesses: Vec<host::Id>,
    ) -> Permit {
        witnesses.truncate(MAX_WITNESSES);
        self.number = (self.number + 1).max(unix_millis << 16);
        let expires = (now + self.lifetime).since(Timestamp::ZERO);
        self.signer.sign(Permit {
            owner: self.owner.clone(),
            witnesses,
            team: team.clone(),
            service: service.clone(),
            number: self.number,
            expires,
            tag: [0; 32],
        })
    }
}
