//! `toucan keys`: a development set of keys.

use std::{
    fs,
    io::{self, Write as _},
    os::unix::fs::OpenOptionsExt as _,
    path::{Path, PathBuf},
};

use rand::RngCore as _;
use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose, PKCS_ED25519,
};
use sha2::{Digest as _, Sha256};
use tsw_base::name;

/// Access to files with secrets: the owner only.
const SECRET_MODE: u32 = 0o600;

/// Access to files without secrets.
const PUBLIC_MODE: u32 = 0o644;

/// Bytes of a token and of the permit key before they are written in hexadecimal.
const SECRET_BYTES: usize = 32;

/// Why keys cannot be made.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A name is not valid.
    #[error("{source}; give names separated by commas")]
    Name {
        /// The cause.
        source: name::Error,
    },
    /// A key or certificate cannot be made, or a key that exists cannot be read.
    #[error("cannot make {}: {source}", path.display())]
    Generate {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: rcgen::Error,
    },
    /// A file cannot be read or written.
    #[error("cannot use {}: {source}; give a writable directory", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A record key was deleted, but its public part is still there. A host name keeps its record key
    /// for good, because an auditor knows one key for each host.
    #[error("{} is still there without its private key; restore the key, or give the host a new name, as old records need the public key", path.display())]
    Public {
        /// The public key.
        path: PathBuf,
    },
    /// The key of the authority exists without its certificate, or the reverse.
    #[error("{} is missing next to its counterpart; restore it, or delete both", path.display())]
    Half {
        /// The missing file.
        path: PathBuf,
    },
}

/// Makes what is missing in the directory.
pub fn run(directory: &Path, hosts: &str, teams: &str) -> Result<(), Error> {
    let hosts: Vec<name::Host> = split(hosts)?;
    let teams: Vec<name::Team> = split(teams)?;
    fs::create_dir_all(directory).map_err(|source| Error::File {
        path: directory.to_owned(),
        source,
    })?;
    let issuer = authority(directory)?;
    write_new(directory, "permit.key", SECRET_MODE, || {
        Ok(format!("{}\n", random_hex()))
    })?;
    for host in &hosts {
        certificate(directory, host, &issuer)?;
        record_key(directory, host)?;
    }
    for team in &teams {
        token(directory, team)?;
    }
    Ok(())
}

fn split<T: std::str::FromStr<Err = name::Error>>(names: &str) -> Result<Vec<T>, Error> {
    let names = names.split(',').map(str::trim);
    let names = names.filter(|name| !name.is_empty());
    let names: Result<_, _> = names.map(str::parse).collect();
    names.map_err(|source| Error::Name { source })
}

/// Returns the authority; its parameters never change, so a key that exists leads to the same one.
fn authority(directory: &Path) -> Result<Issuer<'static, KeyPair>, Error> {
    let key_path = directory.join("authority.key");
    let path = directory.join("authority.pem");
    for (one, other) in [(&key_path, &path), (&path, &key_path)] {
        if one.exists() && !other.exists() {
            let path = other.clone();
            return Err(Error::Half { path });
        }
    }
    let fault = |source| Error::Generate {
        path: path.clone(),
        source,
    };
    let mut params = CertificateParams::default();
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    params
        .distinguished_name
        .push(DnType::CommonName, "toucanswitch development authority");
    let key = if key_path.exists() {
        let text = fs::read_to_string(&key_path).map_err(|source| Error::File {
            path: key_path,
            source,
        })?;
        KeyPair::from_pem(&text).map_err(fault)?
    } else {
        KeyPair::generate().map_err(fault)?
    };
    write_new(directory, "authority.key", SECRET_MODE, || {
        Ok(key.serialize_pem())
    })?;
    write_new(directory, "authority.pem", PUBLIC_MODE, || {
        Ok(params.self_signed(&key)?.pem())
    })?;
    Ok(Issuer::new(params, key))
}

/// Makes key and certificate of a host. Both are made anew when either is missing.
fn certificate(
    directory: &Path,
    host: &name::Host,
    issuer: &Issuer<'_, KeyPair>,
) -> Result<(), Error> {
    let (key_file, file) = (format!("{host}.key"), format!("{host}.pem"));
    let (key_path, path) = (directory.join(&key_file), directory.join(&file));
    if key_path.exists() && path.exists() {
        crate::say!("kept {}", path.display());
        return Ok(());
    }
    for stale in [&key_path, &path] {
        if stale.exists() {
            fs::remove_file(stale).map_err(|source| Error::File {
                path: stale.clone(),
                source,
            })?;
        }
    }
    let fault = |source| Error::Generate {
        path: path.clone(),
        source,
    };
    let key = KeyPair::generate().map_err(fault)?;
    write_new(
        directory,
        &key_file,
        SECRET_MODE,
        || Ok(key.serialize_pem()),
    )?;
    write_new(directory, &file, PUBLIC_MODE, || {
        let mut params = CertificateParams::new(vec![host.to_string()])?;
        params
            .distinguished_name
            .push(DnType::CommonName, host.as_str());
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ];
        Ok(params.signed_by(&key, issuer)?.pem())
    })
}

/// Makes the record key of a host and its public part.
fn record_key(directory: &Path, host: &name::Host) -> Result<(), Error> {
    let file = format!("record-{host}.key");
    let path = directory.join(&file);
    let public = directory.join(format!("record-{host}.pub"));
    if public.exists() && !path.exists() {
        return Err(Error::Public { path: public });
    }
    write_new(directory, &file, SECRET_MODE, || {
        Ok(KeyPair::generate_for(&PKCS_ED25519)?.serialize_pem())
    })?;
    let text = fs::read_to_string(&path).map_err(|source| Error::File {
        path: path.clone(),
        source,
    })?;
    let key = KeyPair::from_pem(&text).map_err(|source| Error::Generate { path, source })?;
    write_new(
        directory,
        &format!("record-{host}.pub"),
        PUBLIC_MODE,
        || Ok(key.public_key_pem()),
    )
}

/// Makes an example token: the token itself for callers, and its digest for the team file.
fn token(directory: &Path, team: &name::Team) -> Result<(), Error> {
    let secret = random_hex();
    let file = format!("{team}.token");
    write_new(directory, &file, SECRET_MODE, || Ok(secret.clone()))?;
    let path = directory.join(file);
    let token = fs::read_to_string(&path).map_err(|source| Error::File { path, source })?;
    let digest = hex::encode(Sha256::digest(token.trim().as_bytes()));
    crate::say!("team {team}: tokens: [\"{digest}\"]");
    Ok(())
}

fn random_hex() -> String {
    let mut bytes = [0; SECRET_BYTES];
    rand::rngs::OsRng.fill_bytes(&mut bytes);
    hex::encode(bytes)
}

/// Writes a file unless it exists.
fn write_new(
    directory: &Path,
    file: &str,
    mode: u32,
    content: impl FnOnce() -> Result<String, rcgen::Error>,
) -> Result<(), Error> {
    let path = directory.join(file);
    if path.exists() {
        crate::say!("kept {}", path.display());
        return Ok(());
    }
    let content = content().map_err(|source| Error::Generate {
        path: path.clone(),
        source,
    })?;
    let mut options = fs::OpenOptions::new();
    let opened = options.create_new(true).mode(mode).write(true).open(&path);
    let written = opened.and_then(|mut file| file.write_all(content.as_bytes()));
    written.map_err(|source| Error::File {
        path: path.clone(),
        source,
    })?;
    crate::say!("made {}", path.display());
    Ok(())
}
