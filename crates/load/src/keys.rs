//! Development keys and certificates of a run.

use std::{fs, io, path::Path};

use rand::RngCore;
use rcgen::{
    BasicConstraints, CertificateParams, CertifiedIssuer, DnType, IsCa, KeyPair, KeyUsagePurpose,
    PKCS_ED25519,
};

use crate::plan;

/// Why the keys cannot be made.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A key or certificate cannot be generated.
    #[error("cannot make a key or certificate: {0}")]
    Generate(#[from] rcgen::Error),
    /// A file cannot be written.
    #[error("cannot write a key: {0}")]
    Write(#[from] io::Error),
}

/// Writes the authority, a certificate for each router and the fleet's secrets into `directory`:
/// `authority.pem`, `HOST.pem`, `HOST.key`, `permit.key` and `record-HOST.key`.
///
/// # Errors
///
/// Returns the key that cannot be made or written.
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
        let record = KeyPair::generate_for(&PKCS_ED25519)?;
        let path = directory.join(format!("record-{host}.key"));
        fs::write(path, record.serialize_pem())?;
    }
    let mut secret = [0; 32];
    rand::thread_rng().fill_bytes(&mut secret);
    fs::write(directory.join("permit.key"), hex::encode(secret))?;
    Ok(())
}
