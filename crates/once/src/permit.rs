//! Permits and the idempotency keys made of them.

use std::{fmt, str::FromStr, sync::Arc};

use base64::{engine::general_purpose::URL_SAFE_NO_PAD, Engine};
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use tsw_base::{
    host, name,
    time::{Span, Tick},
};

/// Most witnesses of a permit.
pub const MAX_WITNESSES: usize = 2;

/// Longest suffix of a key, in bytes.
pub const MAX_SUFFIX: usize = 64;

/// Longest text of a key, in bytes.
pub const MAX_TEXT: usize = 2_048;

/// Separates the tags of permits from other uses of the same secret.
const CONTEXT: &[u8] = b"toucanswitch permit 1";

/// Names the only router that may run the calls whose keys start with it.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Permit {
    /// The router that issued it and alone may run its keys.
    pub owner: host::Id,
    /// The peers that must all accept an intent before the owner runs a key. At most
    /// [`MAX_WITNESSES`].
    pub witnesses: Vec<host::Id>,
    /// The team that may use it.
    pub team: name::Team,
    /// The service that it is for.
    pub service: name::Service,
    /// Issue number, increasing within the owner's incarnation and close to the wall-clock time of
    /// issue, so that a witness can describe all old permits by one number.
    pub number: u64,
    /// End of its lifetime, from the start of the owner's clock. Only the owner can compare it.
    pub expires: Span,
    /// HMAC-SHA-256 over the other fields.
    pub tag: [u8; 32],
}

/// An idempotency key: a permit and a suffix of the caller's choice.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Key {
    /// The permit.
    pub permit: Permit,
    /// Tells the keys of one permit apart.
    pub suffix: Arc<str>,
}

/// What tells two keys apart.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Id {
    /// Owner of the permit.
    pub owner: host::Id,
    /// Issue number of the permit.
    pub number: u64,
    /// Suffix of the key.
    pub suffix: Arc<str>,
}

/// Why a text is not a key, or a key not valid.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The text is longer than [`MAX_TEXT`] bytes.
    #[error("the key has {len} bytes; at most {MAX_TEXT} are allowed")]
    Long {
        /// Length of the text in bytes.
        len: usize,
    },
    /// The text has no dot between permit and suffix.
    #[error("the key has no dot between permit and suffix")]
    Dot,
    /// The suffix is empty, too long or has a character other than letters, digits and `-_.~`.
    #[error("the suffix of the key must be 1 to {MAX_SUFFIX} letters, digits or -_.~")]
    Suffix,
    /// The permit cannot be decoded.
    #[error("the permit in the key cannot be decoded")]
    Form,
    /// The permit was not issued by this fleet, or was changed.
    #[error("the permit in the key was not issued by this fleet")]
    Tag,
    /// The permit is for another team or service.
    #[error("the permit in the key is for team {team} and service {service}")]
    Use {
        /// The team of the permit.
        team: name::Team,
        /// The service of the permit.
        service: name::Service,
    },
}

impl Key {
    /// Returns what tells this key apart from others.
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

    /// Reads a key as callers send it. The permit still has to pass [`Signer::verify`].
    fn from_str(text: &str) -> Result<Self, Error> {
        if text.len() > MAX_TEXT {
            return Err(Error::Long { len: text.len() });
        }
        let (permit, suffix) = text.split_once('.').ok_or(Error::Dot)?;
        let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.~".contains(&b);
        if suffix.is_empty() || suffix.len() > MAX_SUFFIX || !suffix.bytes().all(allowed) {
            return Err(Error::Suffix);
        }
        let bytes = URL_SAFE_NO_PAD.decode(permit).map_err(|_| Error::Form)?;
        let permit: Permit = postcard::from_bytes(&bytes).map_err(|_| Error::Form)?;
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
    /// Makes a signer of the fleet's secret.
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
        mac.update(CONTEXT);
        mac.update(&bytes);
        Some(mac)
    }

    /// Sets the tag of a permit.
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
    /// Returns [`Error::Tag`] or [`Error::Use`].
    pub fn verify(
        &self,
        key: &Key,
        team: &name::Team,
        service: &name::Service,
    ) -> Result<(), Error> {
        let permit = &key.permit;
        let mac = self.mac(permit).ok_or(Error::Tag)?;
        mac.verify_slice(&permit.tag).map_err(|_| Error::Tag)?;
        if permit.witnesses.len() > MAX_WITNESSES {
            return Err(Error::Form);
        }
        if permit.team != *team || permit.service != *service {
            return Err(Error::Use {
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
/// let permit = issuer.issue(time::Tick::ZERO, 1_000, &team, &service, Vec::new());
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
    /// Makes the issuer of a router process; its permits live for `lifetime`.
    #[must_use]
    pub const fn new(signer: Signer, owner: host::Id, lifetime: Span) -> Self {
        Self {
            signer,
            owner,
            lifetime,
            number: 0,
        }
    }

    /// Issues a permit at `now`, which is `unix_millis` milliseconds after 1970.
    ///
    /// Safety does not depend on the wall clock: numbers increase even when it is set back.
    pub fn issue(
        &mut self,
        now: Tick,
        unix_millis: u64,
        team: &name::Team,
        service: &name::Service,
        mut witnesses: Vec<host::Id>,
    ) -> Permit {
        witnesses.truncate(MAX_WITNESSES);
        self.number = (self.number + 1).max(unix_millis << 16);
        let expires = (now + self.lifetime).since(Tick::ZERO);
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
