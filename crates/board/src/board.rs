use indexmap::IndexMap;
use tsw_admit::admission::AdmissionControl;
use tsw_audit::Chain;
use tsw_base::name;
use tsw_grant::{entry, home};
use tsw_health::limit::Limits;
use tsw_member::View;
use tsw_once::{owner, survivor, witness};
use tsw_place::Dispatch;
use tsw_poison::{cause, CrashDetector};

use crate::{
    configuration::Configuration,
    health::ServiceHealth,
    hosts, runs,
    section::{section, Section, WriteToken},
};

/// Homes at this router, by service.
pub type Homes = IndexMap<name::Service, home::Home>;

/// Waiting and running requests of this router, by service.
pub type Queues = IndexMap<name::Service, entry::Queue>;

/// Admission control for the queues, by service.
pub type AdmissionByService = IndexMap<name::Service, AdmissionControl>;

/// Concurrency limits of the upstreams that this router schedules requests on, by service.
pub type LimitsByService = IndexMap<name::Service, Limits>;

/// Token latency and budgets, by service.
pub type HealthByService = IndexMap<name::Service, ServiceHealth>;

macro_rules! board {
    ($($(#[$doc:meta])* $name:ident: $type:ty,)*) => {
        /// The sections of the daemon, shared by its controllers.
        #[derive(Debug)]
        pub struct Board {
            $($(#[$doc])* pub $name: Section<$type>,)*
        }

        /// The write tokens for the sections of a [`Board`].
        #[derive(Debug)]
        pub struct WriteTokens {
            $($(#[$doc])* pub $name: WriteToken<$type>,)*
        }

        /// Initial values of the sections of a [`Board`].
        #[derive(Debug)]
        pub struct InitialState {
            $($(#[$doc])* pub $name: $type,)*
        }

        impl Board {
            /// Creates a board and the only write tokens for it.
            #[must_use]
            pub fn new(initial: InitialState) -> (Self, WriteTokens) {
                $(let $name = section(initial.$name);)*
                (Self { $($name: $name.0,)* }, WriteTokens { $($name: $name.1,)* })
            }
        }
    };
}

board! {
    /// The active configuration bundle.
    configuration: Configuration,
    /// The active host list.
    hosts: hosts::List,
    /// Runs of upstreams that have ended although the host list names them.
    ended_runs: runs::EndedRuns,
    /// Membership of the fleet as known to this router.
    fleet: View,
    /// Homes at this router.
    homes: Homes,
    /// Waiting and running requests of this router.
    queues: Queues,
    /// Admission control for the queues.
    admission: AdmissionByService,
    /// Concurrency limits of upstreams.
    limits: LimitsByService,
    /// Token latency of the services, and budgets for hedges and retries.
    service_health: HealthByService,
    /// Idempotency keys that this router owns.
    owner: owner::Table,
    /// Idempotency keys that this router is a witness of.
    witness: witness::Table,
    /// Calls that this router forwarded.
    survivor: survivor::Table,
    /// Detection of requests that crash upstreams.
    crash_detector: CrashDetector,
    /// What requests that crash upstreams have in common.
    cause_finder: cause::Finder,
    /// Model placement orders for engines.
    placement: Dispatch,
    /// The audit log.
    audit: Chain,
}
