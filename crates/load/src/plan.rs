//! What a run consists of: routers, upstreams, teams, services and delays of a deployment.

use std::time::Duration;

use indexmap::IndexMap;
use sha2::{Digest, Sha256};
use tsw_base::name;
use tsw_config::{bundle, service, team};

/// Slots of one model engine.
pub const ENGINE_SLOTS: u32 = 8;
/// Slots of one booking worker.
pub const BOOKING_SLOTS: u32 = 4;
/// One-way delay between a caller and its router.
pub const CLIENT_DELAY: Duration = Duration::from_millis(1);

/// Shares of the model service by team; they sum to 1, with a few large ones.
const SHARES: [f64; 16] = [
    0.24, 0.18, 0.12, 0.06, 0.05, 0.05, 0.04, 0.04, 0.04, 0.03, 0.03, 0.03, 0.03, 0.02, 0.02, 0.02,
];

const HARBORGRAY_TEAMS: [&str; 16] = [
    "store",
    "workshop",
    "rental",
    "catalog",
    "wholesale",
    "returns",
    "service-desk",
    "web",
    "print",
    "training",
    "quality",
    "outreach",
    "events",
    "archive",
    "finance",
    "analytics",
];

const QUESADA_TEAMS: [&str; 16] = [
    "memorials",
    "engraving",
    "parishes",
    "web",
    "restoration",
    "orders",
    "lettering",
    "delivery",
    "quarry",
    "design",
    "billing",
    "partners",
    "museum",
    "archive",
    "training",
    "analytics",
];

/// An initial deployment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Deployment {
    /// Three failure domains 1 ms apart, 12 model workers.
    Harborgray,
    /// Three failure domains 0.5 ms apart, 20 model workers.
    Quesada,
}

/// The text names no deployment.
#[derive(Debug, thiserror::Error)]
#[error("unknown deployment {0:?}; use harborgray or quesada")]
pub struct Unknown(String);

impl std::str::FromStr for Deployment {
    type Err = Unknown;

    fn from_str(text: &str) -> Result<Self, Unknown> {
        match text {
            "harborgray" => Ok(Self::Harborgray),
            "quesada" => Ok(Self::Quesada),
            _ => Err(Unknown(text.to_owned())),
        }
    }
}

impl Deployment {
    /// Returns the name.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Harborgray => "harborgray",
            Self::Quesada => "quesada",
        }
    }

    /// Returns the one-way delay between failure domains.
    #[must_use]
    pub const fn delay(self) -> Duration {
        match self {
            Self::Harborgray => Duration::from_micros(1_000),
            Self::Quesada => Duration::from_micros(500),
        }
    }

    const fn domains(self) -> [&'static str; 3] {
        match self {
            Self::Harborgray => ["portsmouth", "portland", "gloucester"],
            Self::Quesada => ["cartago", "heredia", "alajuela"],
        }
    }

    const fn services(self) -> (&'static str, &'static str) {
        match self {
            Self::Harborgray => ("reviews", "pickups"),
            Self::Quesada => ("drafts", "engravings"),
        }
    }

    const fn workers(self) -> usize {
        match self {
            Self::Harborgray => 12,
            Self::Quesada => 20,
        }
    }
}

/// One router.
#[derive(Clone, Debug)]
pub struct Router {
    /// Host name.
    pub host: String,
    /// Failure domain.
    pub domain: String,
}

/// One upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Name.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// Service.
    pub service: String,
    /// Whether it is a model engine.
    pub model: bool,
    /// Requests that it runs at a time.
    pub slots: u32,
}

/// Spreads the upstreams of a service over the failure domains. Those of one domain run in one
/// stand-in process, which numbers them when there are several.
fn spread(
    domains: &[String],
    service: &str,
    model: bool,
    count: usize,
    slots: u32,
) -> Vec<Upstream> {
    let mut upstreams = Vec::new();
    for (index, domain) in domains.iter().enumerate() {
        let own = (count + domains.len() - 1 - index) / domains.len();
        for number in 1..=own {
            let name = match own {
                1 => format!("{service}-{domain}"),
                _ => format!("{service}-{domain}-{number}"),
            };
            upstreams.push(Upstream {
                name,
                domain: domain.clone(),
                service: service.to_owned(),
                model,
                slots,
            });
        }
    }
    upstreams
}

/// One team.
#[derive(Clone, Debug)]
pub struct Team {
    /// Name.
    pub name: String,
    /// Share of both services.
    pub share: f64,
    /// Bearer token.
    pub token: String,
}

/// All parts of a run.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Names of the failure domains.
    pub domains: Vec<String>,
    /// One-way delay between failure domains.
    pub delay: Duration,
    /// Routers.
    pub routers: Vec<Router>,
    /// Upstreams of both services.
    pub upstreams: Vec<Upstream>,
    /// Teams.
    pub teams: Vec<Team>,
    /// Name of the model service.
    pub model: String,
    /// Name of the booking service.
    pub booking: String,
    /// Length of an engine's step without requests and for each request, in microseconds; the
    /// stand-in's own when `None`.
    pub step_us: Option<(u64, u64)>,
}

impl Fleet {
    /// Returns the fleet of a deployment with `routers` routers, `workers` model workers (the
    /// deployment's own number when `None`) and the first `teams` teams.
    #[must_use]
    pub fn new(
        deployment: Deployment,
        routers: usize,
        workers: Option<usize>,
        teams: usize,
    ) -> Self {
        let domains: Vec<String> = deployment.domains().map(str::to_owned).to_vec();
        let (model, booking) = deployment.services();
        let domain = |i: usize| domains[i % domains.len()].clone();
        let workers = workers.unwrap_or(deployment.workers());
        let mut upstreams = spread(&domains, model, true, workers, ENGINE_SLOTS);
        upstreams.extend(spread(&domains, booking, false, 3, BOOKING_SLOTS));
        let names = match deployment {
            Deployment::Harborgray => &HARBORGRAY_TEAMS,
            Deployment::Quesada => &QUESADA_TEAMS,
        };
        let whole: f64 = SHARES.iter().take(teams).sum();
        let teams = names.iter().zip(SHARES).take(teams);
        Self {
            delay: deployment.delay(),
            routers: (0..routers)
                .map(|i| Router {
                    host: format!("r{i:02}"),
                    domain: domain(i),
                })
                .collect(),
            upstreams,
            teams: teams
                .map(|(name, share)| Team {
                    name: (*name).to_owned(),
                    share: share / whole,
                    token: format!("{name}-token"),
                })
                .collect(),
            model: model.to_owned(),
            booking: booking.to_owned(),
            step_us: None,
            domains,
        }
    }

    /// Returns the slots of all upstreams of `service`.
    #[must_use]
    pub fn slots(&self, service: &str) -> u32 {
        let own = self.upstreams.iter().filter(|u| u.service == service);
        own.map(|u| u.slots).sum()
    }

    /// Returns the team called `name`.
    #[must_use]
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|team| team.name == name)
    }

    /// Returns the bundle with number `revision`.
    ///
    /// # Errors
    ///
    /// Returns the error of a name that is not allowed.
    pub fn bundle(&self, revision: u64) -> Result<bundle::Bundle, name::Error> {
        let mut services = IndexMap::new();
        for (text, kind, slots) in [
            (&self.model, service::Kind::Model, ENGINE_SLOTS),
            (&self.booking, service::Kind::Plain, BOOKING_SLOTS),
        ] {
            let name: name::Service = text.parse()?;
            let entry = service::Service {
                service: name.clone(),
                kind,
                repeatable: kind == service::Kind::Model,
                slots,
                models: Vec::new(),
                fencing: service::Fencing::Checked,
                short_tokens: 100,
                deadline_ms: 60_000,
            };
            services.insert(name, entry);
        }
        let mut teams = IndexMap::new();
        for planned in &self.teams {
            let name: name::Team = planned.name.parse()?;
            let mut shares = IndexMap::new();
            for service in [&self.model, &self.booking] {
                // Rounding down keeps the sum at 1 at most.
                let part = (planned.share * 1e6).floor() / 1e6;
                if let Ok(share) = team::Share::try_from(part) {
                    shares.insert(service.parse()?, share);
                }
            }
            let entry = team::Team {
                team: name.clone(),
                tokens: vec![hex::encode(Sha256::digest(planned.token.as_bytes()))],
                shares,
                queue_limit: 1_024,
            };
            teams.insert(name, entry);
        }
        Ok(bundle::Bundle {
            revision,
            services,
            teams,
        })
    }
}
