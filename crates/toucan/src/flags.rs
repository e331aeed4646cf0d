//! Command-line arguments.

use std::{net::SocketAddr, path::PathBuf};

xflags::xflags! {
    /// Checks and bundles the configuration of a toucanswitch fleet, queries its routers and verifies
    /// their audit logs.
    ///
    /// Exit code: 0 for success, 1 for faults and errors, 2 for wrong usage.
    cmd toucan {
        /// Checks the team and service files below directories, and settings files of the daemon.
        ///
        /// Example: toucan check services/ toucand.yaml
        cmd check {
            /// Directories with team and service files, or settings files.
            repeated paths: PathBuf
        }
        /// Builds the bundle to upload to the configuration service.
        ///
        /// Example: toucan bundle services/ --revision 42 --out bundle.json
        cmd bundle {
            /// Directory with team and service files.
            required directory: PathBuf
            /// Number of the publication; must be higher than all earlier ones.
            required --revision number: u64
            /// Output file.
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
        /// Shows where a request would go now and why, without sending it.
        ///
        /// The address is that of the router's metrics. Tokens are needed for model engines only.
        ///
        /// Example: toucan plan 10.1.0.7:9464 --host desk.example --path /review/ --team north --tokens 12000 --output 400
        cmd plan {
            /// Metrics address of the router.
            required address: SocketAddr
            /// Host name that the request names.
            required --host host: String
            /// Path of the request.
            required --path path: String
            /// Team that sends it.
            optional --team team: String
            /// Prompt tokens.
            optional --tokens tokens: u64
            /// Tokens to generate.
            optional --output tokens: u64
            /// Parts of the prompt as ID:TOKENS, separated by commas, with identifiers in hexadecimal digits.
            optional --parts parts: String
            /// Prints JSON instead of text.
            optional --json
        }
        /// Asks a router to accept no new work and to stop once its requests have ended.
        ///
        /// Example: toucan drain 10.1.0.7:9092
        cmd drain {
            /// Operator address of the router.
            required address: SocketAddr
        }
        /// Verifies the audit records in logs and reports the first line that cannot be trusted.
        ///
        /// Example: toucan audit r1.log r2.log --keys public/ --receipts receipts.txt
        cmd audit {
            /// Logs of the routers, oldest first, in text or JSON format.
            repeated files: PathBuf
            /// Directory with the public record keys, named record-HOST.pub.
            required --keys directory: PathBuf
            /// File with receipts, one per line.
            optional --receipts file: PathBuf
        }
        /// Generates development keys: authority, host certificates, permit key, record keys and tokens.
        ///
        /// Existing files are kept, so a second call adds hosts or replaces deleted files.
        ///
        /// Example: toucan keys dev-keys/ --hosts r1,r2,r3 --teams counter,workshop
        cmd keys {
            /// Output directory.
            required directory: PathBuf
            /// Names of the hosts, separated by commas.
            required --hosts names: String
            /// Names of teams that get an example token, separated by commas.
            optional --teams names: String
        }
    }
}
