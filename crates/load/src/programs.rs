//! Finds the programs of the fleet and builds those that are missing or out of date.

use std::{
    env, fs, io,
    path::{Path, PathBuf},
    process::Command,
    time::SystemTime,
};

/// Programs that a run needs beside this one.
const PROGRAMS: [&str; 2] = ["toucand", "tsw-fake"];

/// Why the programs cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The directory of this program is unknown.
    #[error("cannot find the directory of this program: {0}")]
    Directory(#[from] io::Error),
    /// A program is missing and the sources are not there to build it.
    #[error("{} is missing; build it with cargo build --release -p {name}", path.display())]
    Missing {
        /// The program.
        name: &'static str,
        /// Where it was looked for.
        path: PathBuf,
    },
    /// The build failed.
    #[error("cargo build of toucand and tsw-fake failed; its messages are above")]
    Build,
}

/// Paths of the programs.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The daemon.
    pub toucand: PathBuf,
    /// The stand-ins.
    pub fake: PathBuf,
    /// This program.
    pub load: PathBuf,
}

impl Programs {
    /// Finds the programs beside this one, building them first when needed.
    ///
    /// # Errors
    ///
    /// Returns which program is missing, or that the build failed.
    pub fn find() -> Result<Self, Error> {
        let load = env::current_exe()?;
        let directory = load.parent().unwrap_or(Path::new(".")).to_owned();
        let paths = PROGRAMS.map(|name| directory.join(name));
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
        if root.join("Cargo.toml").exists() {
            let newest = newest(&root.join("crates"));
            let stale = |path: &PathBuf| modified(path).is_none_or(|time| Some(time) < newest);
            if paths.iter().any(stale) {
                build(&root, &directory)?;
            }
        }
        for (name, path) in PROGRAMS.into_iter().zip(&paths) {
            if !path.exists() {
                return Err(Error::Missing {
                    name,
                    path: path.clone(),
                });
            }
        }
        let [toucand, fake] = paths;
        Ok(Self {
            toucand,
            fake,
            load,
        })
    }
}

fn build(root: &Path, directory: &Path) -> Result<(), Error> {
    eprintln!("Building toucand and tsw-fake ...");
    let cargo = env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command.current_dir(root).args(["build", "--quiet"]);
    if directory.ends_with("release") {
        command.arg("--release");
    }
    command.args(["-p", "toucand", "-p", "tsw-fake"]);
    match command.status()?.success() {
        true => Ok(()),
        false => Err(Error::Build),
    }
}

fn modified(path: &Path) -> Option<SystemTime> {
    fs::metadata(path).ok()?.modified().ok()
}

/// Returns the newest modification of a source file below `directory`, except those of this crate.
fn newest(directory: &Path) -> Option<SystemTime> {
    let entries = fs::read_dir(directory).ok()?.flatten();
    let times = entries.filter_map(|entry| {
        let path = entry.path();
        let name = entry.file_name();
        let source = path
            .extension()
            .is_some_and(|kind| kind == "rs" || kind == "toml");
        match entry.file_type().ok()?.is_dir() {
            true if name == "load" || name == "tests" => None,
            true => newest(&path),
            false if source => modified(&path),
            false => None,
        }
    });
    times.max()
}
