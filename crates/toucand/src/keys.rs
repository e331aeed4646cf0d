//! Secret keys and certificates of this process.

use std::{fs, io, path::Path, path::PathBuf};

use tsw_audit::Signer;
use tsw_config::settings;
use tsw_link::tls;

/// Why a key or certificate cannot be loaded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file cannot be read.
    #[error("cannot read {}: {source}; correct secrets.{key}", path.display())]
    Read {
        /// The setting that contains the path.
        key: &'static str,
        /// The file.
        path: PathBuf,
        /// The underlying error.
        source: io::Error,
    },
    /// The permit key is not 32 bytes in hexadecimal.
    #[error("{} does not hold 32 bytes in hexadecimal; correct secrets.permit_key", path.display())]
    Permit {
        /// The file.
        path: PathBuf,
    },
    /// The record key is not an Ed25519 private key in PEM form.
    #[error("{} is not an Ed25519 key in PEM form: {source}; correct secrets.record_key", path.display())]
    Record {
        /// The file.
        path: PathBuf,
        /// The underlying error.
        source: tsw_audit::Error,
    },
    /// The TLS files cannot be loaded.
    #[error(transparent)]
    Tls(#[from] tls::Error),
}

/// Secret keys and certificates of this process.
#[derive(Clone)]
pub struct Keys {
    /// Authenticates permits.
    pub permit: [u8; 32],
    /// Signs records and receipts.
    pub record: Signer,
    /// TLS identity for the connections between routers.
    pub identity: tls::Identity,
}

fn read(key: &'static str, path: &Path) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|source| Error::Read {
        key,
        path: path.to_owned(),
        source,
    })
}

impl Keys {
    /// Loads the files configured in the settings.
    ///
    /// # Errors
    ///
    /// Returns which file cannot be loaded and why.
    pub fn load(settings: &settings::Settings) -> Result<Self, Error> {
        let path = &settings.secrets.permit_key;
        let mut permit = [0; 32];
        hex::decode_to_slice(read("permit_key", path)?.trim(), &mut permit)
            .map_err(|_| Error::Permit { path: path.clone() })?;
        let path = &settings.secrets.record_key;
        let record =
            Signer::from_pem(&read("record_key", path)?).map_err(|source| Error::Record {
                path: path.clone(),
                source,
            })?;
        let tls = &settings.tls;
        Ok(Self {
            permit,
            record,
            identity: tls::Identity::load(&tls.authority, &tls.certificate, &tls.key)?,
        })
    }
}
