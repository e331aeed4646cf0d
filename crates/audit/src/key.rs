//! Ed25519 keys that sign and verify heads and receipts.

use std::{collections::BTreeMap, fmt};

use ed25519_dalek::{pkcs8::DecodePrivateKey, Signature, Signer as _, SigningKey, VerifyingKey};
use tsw_base::name;

use crate::Error;

/// Signs heads and receipts with the private key of one host.
#[derive(Clone)]
pub struct Signer(SigningKey);

impl fmt::Debug for Signer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Signer")
    }
}

impl Signer {
    /// Parses an Ed25519 private key in PEM form.
    ///
    /// # Errors
    ///
    /// Returns [`Error::InvalidPrivateKey`] for anything else.
    pub fn from_pem(pem: &str) -> Result<Self, Error> {
        let key = SigningKey::from_pkcs8_pem(pem).map_err(|_| Error::InvalidPrivateKey)?;
        Ok(Self(key))
    }

    /// Creates a signer from the 32 bytes of a private key.
    #[must_use]
    pub fn from_bytes(bytes: &[u8; 32]) -> Self {
        Self(SigningKey::from_bytes(bytes))
    }

    /// Returns the public key that verifies this signer's signatures.
    #[must_use]
    pub fn public_key(&self) -> VerifyingKey {
        self.0.verifying_key()
    }

    pub(crate) fn sign(&self, text: &str) -> String {
        hex::encode(self.0.sign(text.as_bytes()).to_bytes())
    }
}

/// The public keys of hosts, which verify their heads and receipts.
#[derive(Clone, Debug, Default)]
pub struct PublicKeys {
    hosts: BTreeMap<name::Host, VerifyingKey>,
}

impl PublicKeys {
    /// Adds the public key of a host, or replaces it.
    pub fn insert(&mut self, host: name::Host, key: VerifyingKey) {
        self.hosts.insert(host, key);
    }

    pub(crate) fn verify(
        &self,
        host: &name::Host,
        text: &str,
        signature: &str,
    ) -> Result<(), Error> {
        let unknown_host = || Error::UnknownHost(host.to_string());
        let invalid = || Error::InvalidSignature(host.to_string());
        let key = self.hosts.get(host).ok_or_else(unknown_host)?;
        let bytes = hex::decode(signature).map_err(|_| invalid())?;
        let signature = Signature::from_slice(&bytes).map_err(|_| invalid())?;
        key.verify_strict(text.as_bytes(), &signature)
            .map_err(|_| invalid())
    }
}
