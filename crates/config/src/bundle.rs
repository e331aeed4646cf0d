//! All teams and services under one revision.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use tsw_base::name;

use crate::{service, team};

/// Key under which the configuration service holds the bundle.
pub const KEY: &str = "toucanswitch/bundle";

/// Largest bundle, in bytes: the configuration service holds no larger value.
pub const MAX_BYTES: usize = 1_000_000;

/// The published configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// Number of the publication. A larger one replaces a smaller one.
    pub revision: u64,
    /// Services by name.
    pub services: IndexMap<name::Service, service::Service>,
    /// Teams by name.
    pub teams: IndexMap<name::Team, team::Team>,
}

/// Why a bundle is refused.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The bundle is larger than [`MAX_BYTES`].
    #[error("the bundle has {bytes} bytes; at most {MAX_BYTES} are allowed")]
    Large {
        /// Size of the bundle in bytes.
        bytes: usize,
    },
    /// The bundle is not valid JSON of the expected form.
    #[error("the bundle cannot be read: {0}")]
    Form(#[from] serde_json::Error),
    /// A team has a share of a service that the bundle does not hold.
    #[error("team {team} has a share of service {service}, which does not exist")]
    Service {
        /// The team.
        team: name::Team,
        /// The missing service.
        service: name::Service,
    },
    /// The shares of a service exceed the whole.
    #[error(
        "the shares of service {service} sum to {sum_ppm} millionths; at most 1000000 are allowed"
    )]
    Shares {
        /// The service.
        service: name::Service,
        /// Sum of the shares in millionths.
        sum_ppm: u64,
    },
    /// A service offers no slot.
    #[error("service {service} has no slots")]
    Slots {
        /// The service.
        service: name::Service,
    },
    /// A token digest is not 64 lower-case hexadecimal digits.
    #[error("team {team} has a token that is not a SHA-256 digest in lower-case hexadecimal")]
    Token {
        /// The team.
        team: name::Team,
    },
    /// A team or service is listed under another name than its own.
    #[error("{name} is listed under the name {key}")]
    Name {
        /// The name that it is listed under.
        key: String,
        /// Its own name.
        name: String,
    },
    /// Two teams accept the same token.
    #[error("teams {first} and {second} accept the same token")]
    Shared {
        /// The first of the teams.
        first: name::Team,
        /// The second of the teams.
        second: name::Team,
    },
}

impl Bundle {
    /// Reads and checks a bundle as the configuration service holds it.
    ///
    /// # Errors
    ///
    /// Returns the first fault that is found.
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
            return Err(Error::Large { bytes: bytes.len() });
        }
        let bundle: Self = serde_json::from_slice(bytes)?;
        bundle.check()?;
        Ok(bundle)
    }

    /// Writes the bundle as the configuration service holds it.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Large`] for a bundle that the service would not hold.
    pub fn to_bytes(&self) -> Result<Vec<u8>, Error> {
        let bytes = serde_json::to_vec(self)?;
        if bytes.len() > MAX_BYTES {
            return Err(Error::Large { bytes: bytes.len() });
        }
        Ok(bytes)
    }

    /// Returns the BLAKE3 digest of the content, in hexadecimal.
    #[must_use]
    pub fn digest(&self) -> String {
        let bytes = serde_json::to_vec(self).unwrap_or_default();
        blake3::hash(&bytes).to_hex().to_string()
    }

    /// Checks what the form alone does not guarantee.
    ///
    /// # Errors
    ///
    /// Returns the first fault that is found.
    pub fn check(&self) -> Result<(), Error> {
        self.check_names()?;
        for service in self.services.values() {
            if service.slots == 0 {
                return Err(Error::Slots {
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
            Some((key, name)) => Err(Error::Name {
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
                    return Err(Error::Service {
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
            Some((service, sum_ppm)) => Err(Error::Shares {
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
                    return Err(Error::Token {
                        team: team.team.clone(),
                    });
                }
                match owners.insert(token, &team.team) {
                    Some(first) if *first != team.team => {
                        return Err(Error::Shared {
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
