//! Command-line flags.

use std::{net::SocketAddr, path::PathBuf};

// The macro only accepts type names without a path.
use tsw_fake::{engine::Fencing, names::Step};

xflags::xflags! {
    /// Stand-ins for the platform and the upstreams of toucanswitch, for tests only.
    cmd tsw-fake {
        /// Configuration service, host list and weight store on one address.
        ///
        /// Example: tsw-fake platform --listen 127.0.0.1:8500 --control 127.0.0.1:8501
        cmd platform {
            /// Address for routers.
            required --listen address: SocketAddr
            /// Address for tests.
            required --control address: SocketAddr
            /// Reads of the configuration service per second (2000).
            optional --config-rate calls: u32
            /// Delay until a change of the host list becomes visible, in milliseconds (500).
            optional --host-lag-ms ms: u64
            /// Reads of the weight store per second (10).
            optional --weight-rate calls: u32
            /// Size of a model in the weight store, in bytes (65536).
            optional --weight-bytes bytes: usize
        }
        /// Model engines.
        ///
        /// Example: tsw-fake engine --listen 127.0.1.1:9000 --name engine --count 20 --step ip
        cmd engine {
            /// Address for routers; repeat it for several engines.
            repeated --listen address: SocketAddr
            /// Name of the engine; several engines are NAME-1, NAME-2 and so on.
            required --name name: String
            /// Number of engines; further engines get the addresses after the last one given.
            optional --count number: usize
            /// Part of the last address that is incremented: ip or port (port).
            optional --step part: Step
            /// Address for tests (a free port).
            optional --control address: SocketAddr
            /// File to append the history to.
            optional --history file: PathBuf
            /// Slots that the engine reports (8).
            optional --slots number: u32
            /// Maximum number of requests in the batch (16).
            optional --batch-limit number: usize
            /// Base duration of a step, in microseconds (12000).
            optional --base-us us: u64
            /// Additional duration of a step per request, in microseconds (1000).
            optional --slope-us us: u64
            /// Further duration per request beyond the slots, in microseconds (2500).
            optional --overload-us us: u64
            /// Additional duration per prompt token, in microseconds (20).
            optional --prefill-us us: u64
            /// Maximum number of prompt tokens processed in one step (512).
            optional --prefill-chunk tokens: u64
            /// Capacity of the prefix cache in blocks of 64 bytes (4096).
            optional --cache-blocks number: usize
            /// Lag of load reports, in milliseconds (500).
            optional --load-lag-ms ms: u64
            /// Lag of cache events, in milliseconds (1000).
            optional --event-lag-ms ms: u64
            /// Every Nth cache event is lost (10); 0 loses none.
            optional --event-gap number: u64
            /// Version of the software that each response states.
            optional --version-stated version: String
            /// Whether orders with an old fencing token are refused: checked or ignored (ignored).
            optional --fencing how: Fencing
            /// Base URL of the weight store; without it, models load immediately.
            optional --weights url: String
            /// Time without a listener after a crash, in milliseconds (2000).
            optional --down-ms ms: u64
            /// Exit the process at a crash. Default for a single engine without --down-ms.
            optional --exit-on-crash
        }
        /// Workers of a booking service that count each execution.
        ///
        /// Example: tsw-fake booking --listen 127.0.2.1:9100 --name booking --history h.jsonl
        cmd booking {
            /// Address for routers; repeat it for several workers.
            repeated --listen address: SocketAddr
            /// Name of the worker; several workers are NAME-1, NAME-2 and so on.
            required --name name: String
            /// Number of workers; further workers get the addresses after the last one given.
            optional --count number: usize
            /// Part of the last address that is incremented: ip or port (port).
            optional --step part: Step
            /// Address for tests (a free port).
            optional --control address: SocketAddr
            /// File to append the history to.
            optional --history file: PathBuf
            /// Duration of a booking, in milliseconds (50).
            optional --service-ms ms: u64
            /// Maximum number of concurrent bookings (8).
            optional --slots number: usize
            /// Time without a listener after a crash, in milliseconds (2000).
            optional --down-ms ms: u64
            /// Exit the process at a crash. Default for a single worker without --down-ms.
            optional --exit-on-crash
        }
    }
}
