//! Finds the programs that a fleet needs, and builds them when they are missing or out of date.

use std::{
    env, fs, io,
    path::{Path, PathBuf},
    process::Command,
    time::SystemTime,
};

/// Programs that a fleet needs besides this one.
const PROGRAMS: [&str; 2] = ["toucand", "tsw-fake"];

/// Why the programs cannot be found or built.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The directory of this program is unknown.
    #[error("cannot find the directory of this program: {0}")]
    Directory(#[from] io::Error),
    /// A program is missing, and there are no sources to build it from.
    #[error("{} is missing; build it with cargo build --release -p {name}", path.display())]
    Missing {
        /// The program.
        name: &'static str,
        /// Expected path.
        path: PathBuf,
    },
    /// The build failed.
    #[error("cargo build of toucand and tsw-fake failed; its messages are above")]
    BuildFailed,
}

/// Paths of the programs.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The router.
    pub toucand: PathBuf,
    /// The fake upstreams and platform.
    pub fake: PathBuf,
    /// This program.
    pub load: PathBuf,
}

impl Programs {
    /// Finds the programs in the directory of this one, and builds them first when needed.
    ///
    /// # Errors
    ///
    /// Returns an error when a program is missing or the build fails.
    pub fn find() -> Result<Self, Error> {
        let load = env::current_exe()?;
        let directory = load.parent().unwrap_or(Path::new(".")).to_owned();
        let paths = PROGRAMS.map(|name| directory.join(name));
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
        if root.join("Cargo.toml").exists() {
            let newest = newest_source(&root.join("crates"));
            let stale = |path: &PathBuf| modified_at(path).is_none_or(|time| Some(time) < newest);
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
        false => Err(Error::BuildFailed),
    }
}

fn modified_at(path: &Path) -> Option<SystemTime> {
    fs::metadata(path).ok()?.modified().ok()
}

/// Returns the latest modification time of the source files below `directory`, without those of
/// this crate and of tests, which the programs do not contain.
fn newest_source(directory: &Path) -> Option<SystemTime> {
    let entries = fs::read_dir(directory).ok()?.flatten();
    let times = entries.filter_map(|entry| {
        let path = entry.path();
        let name = entry.file_name();
        let is_source = path
            .extension()
            .is_some_and(|extension| extension == "rs" || extension == "toml");
        match entry.file_type().ok()?.is_dir() {
            true if name == "load" || name == "tests" => None,
            true => newest_source(&path),
            false if is_source => modified_at(&path),
            false => None,
        }
    });
    times.max()
}
