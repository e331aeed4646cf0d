//! Arguments of the program.

use std::{ffi::OsString, path::PathBuf};

use tsw_load::{plan::Deployment, policy::Policy};

xflags::xflags! {
    /// Load generator, experiments and checks for a fleet of routers. Test only.
    cmd tsw-load {
        /// Run three routers with stand-ins, send requests of several teams, stop one router.
        ///
        /// Example: tsw-load try
        cmd try {
            /// harborgray (default) or quesada.
            optional --deployment name: Deployment
            /// Seed of all random numbers (1).
            optional --seed number: u64
            /// Directory for the files of the run (a temporary one).
            optional --directory path: PathBuf
        }
        /// Run an experiment and check its history.
        ///
        /// Example: tsw-load measure fairness --deployment harborgray --json
        cmd measure {
            /// One of fairness, crest, control, mixed, slow, flood, faults.
            required scenario: String
            /// harborgray or quesada.
            required --deployment name: Deployment
            /// toucan (default), groups-of-1, fifo, two-choices or central.
            optional --policy name: Policy
            /// Seed of all random numbers (1).
            optional --seed number: u64
            /// Let callers know the cost of their requests exactly (fairness only).
            optional --exact-hints
            /// Length of the measured time.
            optional --seconds number: u64
            /// Directory for the files of the run (a temporary one).
            optional --directory path: PathBuf
            /// Print one JSON object.
            optional --json
        }
        /// Make a Markdown page with plots of the results of several runs.
        ///
        /// Example: tsw-load report --output report results/*.json
        cmd report {
            /// Files whose last line is the JSON object of a run.
            repeated file: PathBuf
            /// Directory for the page and the plots (the current one).
            optional --output path: PathBuf
        }
        /// Become another program that ends with the process that started this one.
        cmd child {
            /// Program and arguments, after two dashes.
            repeated command: OsString
        }
        /// Run a baseline router; started by experiments.
        cmd baseline-router {
            /// File with the settings.
            required --config file: PathBuf
        }
    }
}
