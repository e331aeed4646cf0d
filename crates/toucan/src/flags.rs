//! Arguments of the program.

use std::{net::SocketAddr, path::PathBuf};

xflags::xflags! {
    /// Prepares the configuration of a toucanswitch fleet, and asks and audits its routers.
    ///
    /// Exit code: 0 for success, 1 for faults and failures, 2 for wrong usage.
    cmd toucan {
        /// Checks team and service files below directories, and settings files of the daemon.
        ///
        /// Example: toucan check services/ toucand.yaml
        cmd check {
            /// Directories with team and service files, or settings files.
            repeated paths: PathBuf
        }
        /// Makes the bundle that the configuration service is to hold.
        ///
        /// Example: toucan bundle services/ --revision 42 --out bundle.json
        cmd bundle {
            /// Directory with team and service files.
            required directory: PathBuf
            /// Number of the publication; higher than every earlier one.
            required --revision number: u64
            /// File to write.
            required --out file: PathBuf
        }
        /// Shows the state of a router.
        ///
        /// Example: toucan status 10.1.0.7:9092
        cmd status {
            /// Operator address of the router.
            required address: SocketAddr
        }
        /// Shows what a router decided about a request, and why.
        ///
        /// Example: toucan explain 10.1.0.7:9092 5f2c81
        cmd explain {
            /// Operator address of the router.
            required address: SocketAddr
            /// Identifier of the request.
            required id: String
        }
        /// Asks a router to take no new work and to stop once its requests have ended.
        ///
        /// Example: toucan drain 10.1.0.7:9092
        cmd drain {
            /// Operator address of the router.
            required address: SocketAddr
        }
        /// Verifies audit records in logs and names the first line that cannot be trusted.
        ///
        /// Example: toucan audit r1.log r2.log --keys public/ --receipts receipts.txt
        cmd audit {
            /// Logs of the routers, oldest first, in text or JSON form.
            repeated files: PathBuf
            /// Directory with the public record keys, record-HOST.pub each.
            required --keys directory: PathBuf
            /// File with receipts, one a line.
            optional --receipts file: PathBuf
        }
        /// Makes development keys: authority, host certificates, permit key, record keys and tokens.
        ///
        /// Files that exist are kept, so a second call adds hosts, or replaces what was deleted.
        ///
        /// Example: toucan keys dev-keys/ --hosts r1,r2,r3 --teams counter,workshop
        cmd keys {
            /// Directory to write to.
            required directory: PathBuf
            /// Names of the hosts, separated by commas.
            required --hosts names: String
            /// Names of teams that get an example token, separated by commas.
            optional --teams names: String
        }
    }
}
