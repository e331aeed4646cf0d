//! Plan of a fleet: routers, upstreams, teams, services and network delays of a deployment.

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

/// Shares of teams in both services. They sum to 1, and a few of them are large.
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

/// A deployment whose fleet is modelled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Deployment {
    /// Three failure domains 1 ms apart, 12 model engines.
    Harborgray,
    /// Three failure domains 0.5 ms apart, 20 model engines.
    Quesada,
}

/// The text is not the name of a deployment.
#[derive(Debug, thiserror::Error)]
#[error("unknown deployment {0:?}; use harborgray or quesada")]
pub struct UnknownDeployment(String);

impl std::str::FromStr for Deployment {
    type Err = UnknownDeployment;

    fn from_str(text: &str) -> Result<Self, UnknownDeployment> {
        match text {
            "harborgray" => Ok(Self::Harborgray),
            "quesada" => Ok(Self::Quesada),
            _ => Err(UnknownDeployment(text.to_owned())),
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

    const fn engines(self) -> usize {
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
    /// Number of requests that it runs at the same time.
    pub slots: u32,
}

/// Spreads the upstreams of a service evenly over the failure domains. Those of one domain run in
/// one `tsw-fake` process, which adds a number to their names when there are several.
fn place_upstreams(
    domains: &[String],
    service: &str,
    model: bool,
    count: usize,
    slots: u32,
) -> Vec<Upstream> {
    let mut upstreams = Vec::new();
    for (index, domain) in domains.iter().enumerate() {
        let in_domain = (count + domains.len() - 1 - index) / domains.len();
        for number in 1..=in_domain {
            let name = match in_domain {
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
    /// Share in both services.
    pub share: f64,
    /// Bearer token.
    pub token: String,
}

/// Plan of a fleet.
#[derive(Clone, Debug)]
pub struct FleetPlan {
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
    /// Length of an engine's step without requests, and its increase for each request, in
    /// microseconds; the default of the fake engine when `None`.
    pub step_us: Option<(u64, u64)>,
}

impl FleetPlan {
    /// Returns the plan of a deployment with `routers` routers, `engines` model engines (the number
    /// of the deployment when `None`) and the first `teams` teams.
    #[must_use]
    pub fn new(
        deployment: Deployment,
        routers: usize,
        engines: Option<usize>,
        teams: usize,
    ) -> Self {
        let domains: Vec<String> = deployment.domains().map(str::to_owned).to_vec();
        let (model, booking) = deployment.services();
        let domain = |i: usize| domains[i % domains.len()].clone();
        let engines = engines.unwrap_or(deployment.engines());
        let mut upstreams = place_upstreams(&domains, model, true, engines, ENGINE_SLOTS);
        upstreams.extend(place_upstreams(&domains, booking, false, 3, BOOKING_SLOTS));
        let names = match deployment {
            Deployment::Harborgray => &HARBORGRAY_TEAMS,
            Deployment::Quesada => &QUESADA_TEAMS,
        };
        let total_share: f64 = SHARES.iter().take(teams).sum();
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
                    share: share / total_share,
                    token: format!("{name}-token"),
                })
                .collect(),
            model: model.to_owned(),
            booking: booking.to_owned(),
            step_us: None,
            domains,
        }
    }

    /// Returns the number of slots of all upstreams of `service`.
    #[must_use]
    pub fn slots(&self, service: &str) -> u32 {
        let matching = self.upstreams.iter().filter(|u| u.service == service);
        matching.map(|u| u.slots).sum()
    }

    /// Returns the team called `name`.
    #[must_use]
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|team| team.name == name)
    }

    /// Returns the configuration bundle with the revision `revision`.
    ///
    /// # Errors
    ///
    /// Returns an error when a name of the plan is invalid.
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
                // Rounding down keeps the sum of the shares from exceeding 1.
                let rounded = (planned.share * 1e6).floor() / 1e6;
                if let Ok(share) = team::Share::try_from(rounded) {
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
