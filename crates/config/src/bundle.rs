//! The bundle: all teams and services under one revision.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use tsw_base::name;

use crate::{service, team};

/// Key under which the configuration service stores the bundle.
pub const KEY: &str = "toucanswitch/bundle";

/// Maximum size of a bundle in bytes: the configuration service stores no larger value.
pub const MAX_BYTES: usize = 1_000_000;

/// The published configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// Number of the publication. A higher revision replaces a lower one.
    pub revision: u64,
    /// Services by name.
    pub services: IndexMap<name::Service, service::Service>,
    /// Teams by name.
    pub teams: IndexMap<name::Team, team::Team>,
}

/// An error in a bundle.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The bundle is larger than [`MAX_BYTES`].
    #[error("the bundle has {bytes} bytes; at most {MAX_BYTES} are allowed")]
    TooLarge {
        /// Size of the bundle in bytes.
        bytes: usize,
    },
    /// The bundle is not JSON of the expected structure.
    #[error("the bundle cannot be read: {0}")]
    Json(#[from] serde_json::Error),
    /// A team has a share of a service that the bundle does not contain.
    #[error("team {team} has a share of service {service}, which does not exist")]
    UnknownService {
        /// The team.
        team: name::Team,
        /// The missing service.
        service: name::Service,
    },
    /// The shares of a service sum to more than its capacity.
    #[error(
        "the shares of service {service} sum to {sum_ppm} millionths; at most 1000000 are allowed"
    )]
    SharesExceedCapacity {
        /// The service.
        service: name::Service,
        /// Sum of the shares in millionths.
        sum_ppm: u64,
    },
    /// A service has no slots.
    #[error("service {service} has no slots")]
    NoSlots {
        /// The service.
        service: name::Service,
    },
    /// A token digest is not 64 lower-case hexadecimal digits.
    #[error("team {team} has a token that is not a SHA-256 digest in lower-case hexadecimal")]
    InvalidToken {
        /// The team.
        team: name::Team,
    },
    /// The key of a team or service differs from the name in its value.
    #[error("{name} is listed under the name {key}")]
    NameMismatch {
        /// The key.
        key: String,
        /// The name in the value.
        name: String,
    },
    /// Two teams accept the same token.
    #[error("teams {first} and {second} accept the same token")]
    DuplicateToken {
        /// The first of the teams.
        first: name::Team,
        /// The second of the teams.
        second: name::Team,
    },
}

impl Bundle {
    /// Parses and checks a bundle as stored in the configuration service.
    ///
    /// # Errors
    ///
    /// Returns the first error found.
    ///
    /// ```
    /// use tsw_config::bundle;
    ///
    /// let bundle = bundle::Bundle::parse(br#"{"revision":3,"services":{},"teams":{}}"#)?;
    /// assert_eq!(bundle.revision, 3);
    /// # Ok::<(), bundle::Error>(())
    /// ```
    pub fn parse(bytes: &[u8]) -> Result<Self, Error> {
        if bytes.len() > MAX_BYTES {
            return Err(Error::TooLarge { bytes: bytes.len() });
        }
        let bundle: Self = serde_json::from_slice(bytes)?;
        bundle.check()?;
        Ok(bundle)
    }

    /// Serializes the bundle as stored in the configuration service.
    ///
    /// # Errors
    ///
    /// Returns [`Error::TooLarge`] for a bundle above [`MAX_BYTES`].
    pub fn to_bytes(&self) -> Result<Vec<u8>, Error> {
        let bytes = serde_json::to_vec(self)?;
        if bytes.len() > MAX_BYTES {
            return Err(Error::TooLarge { bytes: bytes.len() });
        }
        Ok(bytes)
    }

    /// Returns the BLAKE3 digest of the content, in hexadecimal.
    #[must_use]
    pub fn digest(&self) -> String {
        let bytes = serde_json::to_vec(self).unwrap_or_default();
        blake3::hash(&bytes).to_hex().to_string()
    }

    /// Checks names, slots, shares and tokens, which deserialization does not validate.
    ///
    /// # Errors
    ///
    /// Returns the first error found.
    pub fn check(&self) -> Result<(), Error> {
        self.check_names()?;
        for service in self.services.values() {
            if service.slots == 0 {
                return Err(Error::NoSlots {
                    service: service.service.clone(),
                });
            }
        }
        self.check_shares()?;
        self.check_tokens()
    }

    fn check_names(&self) -> Result<(), Error> {
        let teams = self.teams.iter();
        let teams = teams.map(|(key, team)| (key.as_str(), team.team.as_str()));
        let services = self.services.iter();
        let services = services.map(|(key, service)| (key.as_str(), service.service.as_str()));
        match teams.chain(services).find(|(key, name)| key != name) {
            Some((key, name)) => Err(Error::NameMismatch {
                key: key.to_owned(),
                name: name.to_owned(),
            }),
            None => Ok(()),
        }
    }

    fn check_shares(&self) -> Result<(), Error> {
        let mut sums: IndexMap<&name::Service, u64> = IndexMap::new();
        for team in self.teams.values() {
            for (service, share) in &team.shares {
                if !self.services.contains_key(service) {
                    return Err(Error::UnknownService {
                        team: team.team.clone(),
                        service: service.clone(),
                    });
                }
                *sums.entry(service).or_default() += u64::from(share.as_ppm());
            }
        }
        match sums
            .into_iter()
            .find(|(_, sum)| *sum > u64::from(team::Share::WHOLE_PPM))
        {
            Some((service, sum_ppm)) => Err(Error::SharesExceedCapacity {
                service: service.clone(),
                sum_ppm,
            }),
            None => Ok(()),
        }
    }

    fn check_tokens(&self) -> Result<(), Error> {
        let mut owners: IndexMap<&str, &name::Team> = IndexMap::new();
        for team in self.teams.values() {
            for token in &team.tokens {
                let digits = token
                    .bytes()
                    .all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
                if token.len() != 64 || !digits {
                    return Err(Error::InvalidToken {
                        team: team.team.clone(),
                    });
                }
                match owners.insert(token, &team.team) {
                    Some(first) if *first != team.team => {
                        return Err(Error::DuplicateToken {
                            first: first.clone(),
                            second: team.team.clone(),
                        })
                    }
                    _ => {}
                }
            }
        }
        Ok(())
    }
}
