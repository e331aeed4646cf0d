//! The command `toucan bundle`.

use std::{
    fs, io,
    path::{Path, PathBuf},
};

use tsw_config::{bundle, check, collect};

/// An error while writing a bundle.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The files cannot be read.
    #[error(transparent)]
    Collect(#[from] collect::Error),
    /// The files have faults, or the bundle is invalid.
    #[error(transparent)]
    Check(#[from] check::Error),
    /// The bundle is invalid.
    #[error(transparent)]
    Bundle(#[from] bundle::Error),
    /// The revision is 0, which means "no bundle" to routers.
    #[error("revision 0 is never adopted; give a number above that of the last publication")]
    ZeroRevision,
    /// The directory contains no service, so every router would refuse all calls.
    #[error("no *.service.yaml below {}; give the directory that holds the files", directory.display())]
    NoServices {
        /// The directory.
        directory: PathBuf,
    },
    /// The file cannot be written.
    #[error("cannot write {}: {source}; give a writable file with --out", path.display())]
    Write {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
}

/// Writes the bundle of a directory. The file is replaced atomically, so that a tool that uploads it
/// never reads a partial bundle.
pub fn run(directory: &Path, revision: u64, out: &Path) -> Result<(), Error> {
    if revision == 0 {
        return Err(Error::ZeroRevision);
    }
    let set = check::FileSet::read(&collect::walk(directory)?);
    let bundle = set.bundle(revision)?;
    if bundle.services.is_empty() {
        let directory = directory.to_owned();
        return Err(Error::NoServices { directory });
    }
    let bytes = bundle.to_bytes()?;
    let mut temporary = out.as_os_str().to_owned();
    temporary.push(".part");
    let written = fs::write(&temporary, &bytes).and_then(|()| fs::rename(&temporary, out));
    written.map_err(|source| Error::Write {
        path: out.to_owned(),
        source,
    })?;
    crate::print_line!(
        "{}: revision {revision}, {} teams, {} services, {} of {} bytes, digest {}",
        out.display(),
        bundle.teams.len(),
        bundle.services.len(),
        bytes.len(),
        bundle::MAX_BYTES,
        bundle.digest(),
    );
    Ok(())
}
