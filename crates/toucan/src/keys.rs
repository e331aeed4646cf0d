//! The command `toucan keys`, which generates keys for development.

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

/// File mode of secret files: access for the owner only.
const SECRET_MODE: u32 = 0o600;

/// File mode of public files.
const PUBLIC_MODE: u32 = 0o644;

/// Length in bytes of a token and of the permit key before hexadecimal encoding.
const SECRET_BYTES: usize = 32;

/// An error while generating keys.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A name is not valid.
    #[error("{source}; give names separated by commas")]
    InvalidName {
        /// The cause.
        source: name::Error,
    },
    /// A key or certificate cannot be generated, or an existing key cannot be parsed.
    #[error("cannot generate {}: {source}", path.display())]
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
    /// A private record key was deleted, but its public key still exists. The record key of a host name
    /// is never replaced, because an auditor has only one key per host.
    #[error("{} exists without its private key; restore the key, or give the host a new name, as old records need the public key", path.display())]
    MissingPrivateKey {
        /// The public key.
        path: PathBuf,
    },
    /// Either the key or the certificate of the authority is missing.
    #[error("{} is missing, but the other file of the authority exists; restore it, or delete both", path.display())]
    IncompletePair {
        /// The missing file.
        path: PathBuf,
    },
}

/// Generates the files that are missing in the directory.
pub fn run(directory: &Path, hosts: &str, teams: &str) -> Result<(), Error> {
    let hosts: Vec<name::Host> = parse_names(hosts)?;
    let teams: Vec<name::Team> = parse_names(teams)?;
    fs::create_dir_all(directory).map_err(|source| Error::File {
        path: directory.to_owned(),
        source,
    })?;
    let issuer = ensure_authority(directory)?;
    write_if_absent(directory, "permit.key", SECRET_MODE, || {
        Ok(format!("{}\n", random_hex()))
    })?;
    for host in &hosts {
        ensure_certificate(directory, host, &issuer)?;
        ensure_record_key(directory, host)?;
    }
    for team in &teams {
        ensure_token(directory, team)?;
    }
    Ok(())
}

fn parse_names<T: std::str::FromStr<Err = name::Error>>(names: &str) -> Result<Vec<T>, Error> {
    let names = names.split(',').map(str::trim);
    let names = names.filter(|name| !name.is_empty());
    let names: Result<_, _> = names.map(str::parse).collect();
    names.map_err(|source| Error::InvalidName { source })
}

/// Returns the authority. Its certificate parameters are fixed, so an existing key yields the same
/// issuer again.
fn ensure_authority(directory: &Path) -> Result<Issuer<'static, KeyPair>, Error> {
    let key_path = directory.join("authority.key");
    let path = directory.join("authority.pem");
    for (present, missing) in [(&key_path, &path), (&path, &key_path)] {
        if present.exists() && !missing.exists() {
            let path = missing.clone();
            return Err(Error::IncompletePair { path });
        }
    }
    let generate_error = |source| Error::Generate {
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
        KeyPair::from_pem(&text).map_err(generate_error)?
    } else {
        KeyPair::generate().map_err(generate_error)?
    };
    write_if_absent(directory, "authority.key", SECRET_MODE, || {
        Ok(key.serialize_pem())
    })?;
    write_if_absent(directory, "authority.pem", PUBLIC_MODE, || {
        Ok(params.self_signed(&key)?.pem())
    })?;
    Ok(Issuer::new(params, key))
}

/// Generates the key and certificate of a host, unless both exist. If either is missing, both are
/// replaced.
fn ensure_certificate(
    directory: &Path,
    host: &name::Host,
    issuer: &Issuer<'_, KeyPair>,
) -> Result<(), Error> {
    let (key_file, file) = (format!("{host}.key"), format!("{host}.pem"));
    let (key_path, path) = (directory.join(&key_file), directory.join(&file));
    if key_path.exists() && path.exists() {
        crate::print_line!("kept {}", path.display());
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
    let generate_error = |source| Error::Generate {
        path: path.clone(),
        source,
    };
    let key = KeyPair::generate().map_err(generate_error)?;
    write_if_absent(
        directory,
        &key_file,
        SECRET_MODE,
        || Ok(key.serialize_pem()),
    )?;
    write_if_absent(directory, &file, PUBLIC_MODE, || {
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

/// Generates the record key of a host and its public key, unless they exist.
fn ensure_record_key(directory: &Path, host: &name::Host) -> Result<(), Error> {
    let file = format!("record-{host}.key");
    let path = directory.join(&file);
    let public = directory.join(format!("record-{host}.pub"));
    if public.exists() && !path.exists() {
        return Err(Error::MissingPrivateKey { path: public });
    }
    write_if_absent(directory, &file, SECRET_MODE, || {
        Ok(KeyPair::generate_for(&PKCS_ED25519)?.serialize_pem())
    })?;
    let text = fs::read_to_string(&path).map_err(|source| Error::File {
        path: path.clone(),
        source,
    })?;
    let key = KeyPair::from_pem(&text).map_err(|source| Error::Generate { path, source })?;
    write_if_absent(
        directory,
        &format!("record-{host}.pub"),
        PUBLIC_MODE,
        || Ok(key.public_key_pem()),
    )
}

/// Generates an example token, unless it exists, and prints its digest for the team file.
fn ensure_token(directory: &Path, team: &name::Team) -> Result<(), Error> {
    let secret = random_hex();
    let file = format!("{team}.token");
    write_if_absent(directory, &file, SECRET_MODE, || Ok(secret.clone()))?;
    let path = directory.join(file);
    let token = fs::read_to_string(&path).map_err(|source| Error::File { path, source })?;
    let digest = hex::encode(Sha256::digest(token.trim().as_bytes()));
    crate::print_line!("team {team}: tokens: [\"{digest}\"]");
    Ok(())
}

fn random_hex() -> String {
    let mut bytes = [0; SECRET_BYTES];
    rand::rngs::OsRng.fill_bytes(&mut bytes);
    hex::encode(bytes)
}

/// Writes a file unless it exists.
fn write_if_absent(
    directory: &Path,
    file: &str,
    mode: u32,
    content: impl FnOnce() -> Result<String, rcgen::Error>,
) -> Result<(), Error> {
    let path = directory.join(file);
    if path.exists() {
        crate::print_line!("kept {}", path.display());
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
    crate::print_line!("made {}", path.display());
    Ok(())
}
