//! Generates the keys and certificates of a test fleet.

use std::{fs, io, path::Path};

use rand::RngCore;
use rcgen::{
    BasicConstraints, CertificateParams, CertifiedIssuer, DnType, IsCa, KeyPair, KeyUsagePurpose,
    PKCS_ED25519,
};

use crate::plan;

/// Why the keys cannot be written.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A key or certificate cannot be generated.
    #[error("cannot generate a key or certificate: {0}")]
    Generate(#[from] rcgen::Error),
    /// A file cannot be written.
    #[error("cannot write a key: {0}")]
    Write(#[from] io::Error),
}

/// Writes the keys of a fleet into `directory`: the certificate authority `authority.pem`, the
/// permit key `permit.key`, and for each router its certificate `HOST.pem`, its private key
/// `HOST.key` and its signing key for the audit log `record-HOST.key`.
///
/// # Errors
///
/// Returns an error when a key cannot be generated or written.
pub fn write(directory: &Path, routers: &[plan::Router]) -> Result<(), Error> {
    let mut params = CertificateParams::default();
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    params
        .distinguished_name
        .push(DnType::CommonName, "tsw-load authority");
    let authority = CertifiedIssuer::self_signed(params, KeyPair::generate()?)?;
    fs::write(directory.join("authority.pem"), authority.pem())?;
    for router in routers {
        let host = &router.host;
        let key = KeyPair::generate()?;
        let mut params = CertificateParams::new(vec![host.clone()])?;
        params
            .distinguished_name
            .push(DnType::CommonName, host.as_str());
        let certificate = params.signed_by(&key, &authority)?;
        fs::write(directory.join(format!("{host}.pem")), certificate.pem())?;
        fs::write(directory.join(format!("{host}.key")), key.serialize_pem())?;
        let record_key = KeyPair::generate_for(&PKCS_ED25519)?;
        let path = directory.join(format!("record-{host}.key"));
        fs::write(path, record_key.serialize_pem())?;
    }
    let mut permit_key = [0; 32];
    rand::thread_rng().fill_bytes(&mut permit_key);
    fs::write(directory.join("permit.key"), hex::encode(permit_key))?;
    Ok(())
}
