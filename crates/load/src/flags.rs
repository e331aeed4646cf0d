//! Command line arguments.

use std::{ffi::OsString, path::PathBuf};

use tsw_load::{plan::Deployment, policy::Policy};

xflags::xflags! {
    /// Load generator, experiments and checks for a fleet of routers. Test only.
    cmd tsw-load {
        /// Run three routers with fake upstreams, send requests of several teams, stop one router.
        ///
        /// Example: tsw-load try
        cmd try {
            /// harborgray (default) or quesada.
            optional --deployment name: Deployment
            /// Seed of all random numbers (1).
            optional --seed number: u64
            /// New or empty directory for the files of the run (a temporary one).
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
            /// Send exact cost hints with all requests (fairness only).
            optional --exact-hints
            /// Length of the measured time in seconds.
            optional --seconds number: u64
            /// New or empty directory for the files of the run (a temporary one).
            optional --directory path: PathBuf
            /// Print the result as one JSON object.
            optional --json
        }
        /// Write a Markdown page with plots of the results of several runs.
        ///
        /// Example: tsw-load report --output report results/*.json
        cmd report {
            /// Files whose last line is the JSON object of a run.
            repeated file: PathBuf
            /// Directory for the page and the plots (the current one).
            optional --output path: PathBuf
        }
        /// Run a program that is killed when the parent process ends; used by experiments.
        cmd child {
            /// Program and arguments, after --.
            repeated command: OsString
        }
        /// Run a baseline router; used by experiments.
        cmd baseline-router {
            /// File with the settings.
            required --config file: PathBuf
        }
    }
}
