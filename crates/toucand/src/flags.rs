//! Command-line flags.

use std::path::PathBuf;

xflags::xflags! {
    /// Router of a toucanswitch fleet.
    cmd toucand {
        /// Settings file in YAML.
        required -c, --config file: PathBuf
        /// Run of this host that the new one has to follow. The process sets it when it starts itself again.
        optional --after incarnation: u64
    }
}
