use indexmap::IndexMap;
use tsw_admit::admission::AdmissionControl;
use tsw_audit::Chain;
use tsw_base::name;
use tsw_grant::{entry, home};
use tsw_health::limit::Limits;
use tsw_member::View;
use tsw_once::{owner, survivor, witness};
use tsw_place::Dispatch;
use tsw_poison::CrashDetector;

use crate::{
    configuration::Configuration,
    health::Pulse,
    hosts,
    section::{section, Pen, Section},
};

/// Homes that this router runs, by service.
pub type Homes = IndexMap<name::Service, home::Home>;

/// Waiting and running requests of this router, by service.
pub type Queues = IndexMap<name::Service, entry::Queue>;

/// Admission into the queues, by service.
pub type AdmissionByService = IndexMap<name::Service, AdmissionControl>;

/// Concurrency limits of the upstreams that this router schedules, by service.
pub type AllLimits = IndexMap<name::Service, Limits>;

/// Pace and budgets, by service.
pub type Pulses = IndexMap<name::Service, Pulse>;

macro_rules! board {
    ($($(#[$doc:meta])* $name:ident: $type:ty,)*) => {
        /// The sections of the daemon.
        #[derive(Debug)]
        pub struct Board {
            $($(#[$doc])* pub $name: Section<$type>,)*
        }

        /// The pens for the sections of a [`Board`].
        #[derive(Debug)]
        pub struct Pens {
            $($(#[$doc])* pub $name: Pen<$type>,)*
        }

        /// What the sections of a [`Board`] start with.
        #[derive(Debug)]
        pub struct Start {
            $($(#[$doc])* pub $name: $type,)*
        }

        impl Board {
            /// Makes a board and the only pens for it.
            #[must_use]
            pub fn new(start: Start) -> (Self, Pens) {
                $(let $name = section(start.$name);)*
                (Self { $($name: $name.0,)* }, Pens { $($name: $name.1,)* })
            }
        }
    };
}

board! {
    /// The bundle in force.
    configuration: Configuration,
    /// The host list in use.
    hosts: hosts::List,
    /// The fleet as this router sees it.
    fleet: View,
    /// Homes that this router runs.
    homes: Homes,
    /// Waiting and running requests of this router.
    queues: Queues,
    /// Admission into the queues.
    admission: AdmissionByService,
    /// Concurrency limits of upstreams.
    limits: AllLimits,
    /// Pace of the services, and budgets for hedges and retries.
    pulses: Pulses,
    /// Keys that this router owns.
    owner: owner::Table,
    /// Keys that this router is a witness of.
    witness: witness::Table,
    /// Calls that this router forwarded.
    survivor: survivor::Table,
    /// Requests that crash upstreams.
    poison: CrashDetector,
    /// Orders to engines.
    placement: Dispatch,
    /// The audit log.
    audit: Chain,
}
