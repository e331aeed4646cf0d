//! Command-line flags.

use std::path::PathBuf;

xflags::xflags! {
    /// Router of a toucanswitch fleet.
    cmd toucand {
        /// Settings file in YAML.
        required -c, --config file: PathBuf
    }
}
