//! Finds team and service files in a directory.

use std::{
    fs, io,
    path::{Path, PathBuf},
};

/// File name suffix of team files.
pub const TEAM_SUFFIX: &str = ".team.yaml";

/// File name suffix of service files.
pub const SERVICE_SUFFIX: &str = ".service.yaml";

/// What a file describes.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// A service.
    Service,
    /// A team.
    Team,
}

impl Kind {
    /// Returns the kind of a file by its name, or `None` for other files.
    ///
    /// ```
    /// use tsw_config::collect::Kind;
    ///
    /// assert_eq!(Kind::from_path("shop/counter.team.yaml".as_ref()), Some(Kind::Team));
    /// assert_eq!(Kind::from_path("shop/readme.md".as_ref()), None);
    /// ```
    #[must_use]
    pub fn from_path(path: &Path) -> Option<Self> {
        let name = path.file_name()?.to_str()?;
        if name.ends_with(TEAM_SUFFIX) {
            Some(Self::Team)
        } else if name.ends_with(SERVICE_SUFFIX) {
            Some(Self::Service)
        } else {
            None
        }
    }
}

/// A team or service file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct File {
    /// Path of the file.
    pub path: PathBuf,
    /// What the file describes.
    pub kind: Kind,
    /// Content of the file.
    pub text: String,
}

/// An error while reading a directory tree.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A directory cannot be listed.
    #[error("cannot list directory {}: {source}; give a readable directory", path.display())]
    List {
        /// The directory.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A file cannot be read, or is not UTF-8.
    #[error("cannot read {}: {source}; make it a readable UTF-8 file", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
}

/// Reads all team and service files below a directory, sorted by path.
///
/// Hidden directories and symbolic links to directories are skipped.
///
/// # Errors
///
/// Returns an error for the first directory or file that cannot be read.
///
/// ```
/// use tsw_config::collect;
///
/// let missing = collect::walk("/nonexistent".as_ref());
/// assert!(matches!(missing, Err(collect::Error::List { .. })));
/// ```
pub fn walk(directory: &Path) -> Result<Vec<File>, Error> {
    let mut files = Vec::new();
    let mut pending = vec![directory.to_owned()];
    while let Some(path) = pending.pop() {
        read_directory(&path, &mut pending, &mut files)?;
    }
    files.sort_by(|a, b| a.path.cmp(&b.path));
    Ok(files)
}

fn read_directory(
    directory: &Path,
    pending: &mut Vec<PathBuf>,
    files: &mut Vec<File>,
) -> Result<(), Error> {
    let list_error = |source| Error::List {
        path: directory.to_owned(),
        source,
    };
    for entry in fs::read_dir(directory).map_err(list_error)? {
        let entry = entry.map_err(list_error)?;
        let path = entry.path();
        if entry.file_type().map_err(list_error)?.is_dir() {
            if !entry.file_name().as_encoded_bytes().starts_with(b".") {
                pending.push(path);
            }
        } else if let Some(kind) = Kind::from_path(&path) {
            let text = fs::read_to_string(&path).map_err(|source| Error::Read {
                path: path.clone(),
                source,
            })?;
            files.push(File { path, kind, text });
        }
    }
    Ok(())
}
