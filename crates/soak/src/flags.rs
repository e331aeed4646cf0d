//! Arguments of the soak.

use std::path::PathBuf;

xflags::xflags! {
    /// Plays randomized faults against real routers on loopback and checks what clients and
    /// upstreams see.
    ///
    /// Example: `cargo build --release -p toucand && cargo run --release -p tsw-soak -- --count 50`
    cmd soak {
        /// First seed; drawn if it is left out.
        optional --seed seed: u64
        /// Seeds to play, one after the other (1).
        optional --count count: u64
        /// Seconds in which faults begin and end (12).
        optional --length-s length_s: u64
        /// The router program (beside this one).
        optional --program program: PathBuf
        /// Where the logs of failed runs are kept (a folder for temporary files).
        optional --logs logs: PathBuf
    }
}
