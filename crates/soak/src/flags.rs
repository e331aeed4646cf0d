//! Command-line flags.

use std::path::PathBuf;

use tsw_soak::fault::{Starts, StoreFaults};

xflags::xflags! {
    /// Injects randomized faults into real routers on loopback and checks what clients and
    /// upstreams observe.
    ///
    /// Example: `cargo build --release -p toucand && cargo run --release -p tsw-soak -- --count 50`
    cmd soak {
        /// First seed (random).
        optional --seed seed: u64
        /// Number of consecutive seeds to run (1).
        optional --count count: u64
        /// Length of the period in which all faults start and end, in seconds (12).
        optional --length-s length_s: u64
        /// Release software versions of upstreams, while clients resume their streams.
        optional --releases
        /// Let upstreams return with other software versions after crashes that routers notice, while routers
        /// are killed and clients resume long streams.
        optional --returns
        /// Release software versions and let upstreams return with others, beside faults of routers and of the store
        /// that last for seconds.
        optional --mixed
        /// Cut routers off from each other or from the store, or let them stand still, while upstreams of the next
        /// version join and are lost. All router programs have to know the setting `advertise`.
        optional --partitioned
        /// Play the faults of the plan alone, without what a seed selects beside them.
        optional --plain
        /// Starts that upstreams state: in-order, backwards, equal, seconds-off or minute-off (by seed with
        /// --returns, else in-order).
        optional --starts starts: Starts
        /// Faults of the store's history beside the loss of all routers: none, compact, restore or any (by seed
        /// with --returns, else none).
        optional --store-faults store_faults: StoreFaults
        /// Router program (`toucand` in the directory of this program).
        optional --program program: PathBuf
        /// Program of every second router, for fleets of two builds (that of the others).
        optional --other-program other_program: PathBuf
        /// Directory to which the logs of failed runs are moved (the system's temporary directory).
        optional --logs logs: PathBuf
        /// Keep the logs of all runs.
        optional --keep
    }
}
