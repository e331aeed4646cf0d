//! Certificates of the fleet, and verification of a peer's certificate.

use std::{path::Path, path::PathBuf, sync::Arc, time::Duration};

use quinn::crypto::rustls::{NoInitialCipherSuite, QuicClientConfig, QuicServerConfig};
use quinn_proto::HashedConnectionIdGenerator;
use ring::hmac;
use rustls::{
    client::verify_server_name,
    pki_types::{pem, pem::PemObject, CertificateDer, PrivateKeyDer, ServerName},
    server::{ParsedCertificate, VerifierBuilderError, WebPkiClientVerifier},
    RootCertStore,
};
use tsw_base::name;

const ALPN: &[u8] = b"toucanswitch/1";
/// Time without traffic after which a session ends. Small fleets probe a running peer more often
/// than this, so its session stays open; in large fleets unused sessions end and free their memory.
const IDLE_TIMEOUT_MS: u32 = 10_000;
/// Packets that a peer receives before it sends an acknowledgement, unless [`ACK_DELAY`] passes
/// first. Most packets hold one small message, so the default of 2 would double the cost of each.
const ACK_PACKETS: u32 = 16;
/// Maximum delay of an acknowledgement, the protocol's default. It adds to the time after which a
/// lost packet is retransmitted.
const ACK_DELAY: Duration = Duration::from_millis(25);
/// Label for deriving the key of stateless reset tokens (RFC 9000, section 10.3.2).
const RESET_LABEL: &[u8] = b"toucanswitch stateless reset";
/// Label for deriving the key that marks connection IDs as issued by this host.
const CONNECTION_ID_LABEL: &[u8] = b"toucanswitch connection id";

/// An error while loading or using the certificates.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file cannot be read.
    #[error("cannot read {}: {source}; correct tls.{key}", path.display())]
    File {
        /// The setting that names the file.
        key: &'static str,
        /// The file.
        path: PathBuf,
        /// The cause.
        source: pem::Error,
    },
    /// The certificate, key or authority is invalid.
    #[error("the certificates in tls are refused: {0}")]
    InvalidCertificate(#[from] rustls::Error),
    /// The authority cannot be used to verify peers.
    #[error("the certificate in tls.authority is refused: {0}")]
    Authority(#[from] VerifierBuilderError),
    /// No cipher suite is usable for QUIC.
    #[error("no cipher suite is usable for QUIC: {0}")]
    CipherSuite(#[from] NoInitialCipherSuite),
    /// The idle timeout is out of range.
    #[error("the idle timeout is out of range: {0}")]
    IdleTimeout(#[from] quinn::VarIntBoundsExceeded),
}

/// Certificate and key of this host and the authority of the fleet.
#[derive(Debug)]
pub struct Identity {
    authority: CertificateDer<'static>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
}

impl Clone for Identity {
    fn clone(&self) -> Self {
        Self {
            authority: self.authority.clone(),
            chain: self.chain.clone(),
            key: self.key.clone_key(),
        }
    }
}

impl Identity {
    /// Creates an identity from certificates and a key in DER form.
    #[must_use]
    pub const fn new(
        authority: CertificateDer<'static>,
        chain: Vec<CertificateDer<'static>>,
        key: PrivateKeyDer<'static>,
    ) -> Self {
        Self {
            authority,
            chain,
            key,
        }
    }

    /// Reads the PEM files.
    ///
    /// # Errors
    ///
    /// Returns [`Error::File`] for the first file that cannot be read.
    pub fn load(authority: &Path, certificate: &Path, key: &Path) -> Result<Self, Error> {
        let file_error = |name, path: &Path| {
            let path = path.to_owned();
            move |source| Error::File {
                key: name,
                path,
                source,
            }
        };
        let chain = CertificateDer::pem_file_iter(certificate)
            .and_then(Iterator::collect)
            .map_err(file_error("certificate", certificate))?;
        Ok(Self {
            authority: CertificateDer::from_pem_file(authority)
                .map_err(file_error("authority", authority))?,
            chain,
            key: PrivateKeyDer::from_pem_file(key).map_err(file_error("key", key))?,
        })
    }

    fn roots(&self) -> Result<RootCertStore, Error> {
        let mut roots = RootCertStore::empty();
        roots.add(self.authority.clone())?;
        Ok(roots)
    }

    /// Returns the endpoint configuration. The keys for connection IDs and stateless reset tokens are
    /// derived from the private key, so a later incarnation of the host recognizes packets meant for
    /// an earlier one, and the stateless reset it answers with ends the peer's session at once.
    pub(crate) fn endpoint(&self) -> quinn::EndpointConfig {
        let secret = hmac::Key::new(hmac::HMAC_SHA256, self.key.secret_der());
        let reset_key = hmac::sign(&secret, RESET_LABEL);
        let mut id_key = [0; 8];
        id_key.copy_from_slice(&hmac::sign(&secret, CONNECTION_ID_LABEL).as_ref()[..8]);
        let id_key = u64::from_be_bytes(id_key);
        let reset_key = hmac::Key::new(hmac::HMAC_SHA256, reset_key.as_ref());
        let mut config = quinn::EndpointConfig::new(Arc::new(reset_key));
        config.cid_generator(move || Box::new(HashedConnectionIdGenerator::from_key(id_key)));
        config
    }

    pub(crate) fn server(&self) -> Result<quinn::ServerConfig, Error> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier =
            WebPkiClientVerifier::builder_with_provider(Arc::new(self.roots()?), provider.clone())
                .build()?;
        let mut config = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())?;
        config.alpn_protocols = vec![ALPN.to_vec()];
        let mut server =
            quinn::ServerConfig::with_crypto(Arc::new(QuicServerConfig::try_from(config)?));
        server.transport_config(Arc::new(transport_config()?));
        Ok(server)
    }

    pub(crate) fn client(&self) -> Result<quinn::ClientConfig, Error> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut config = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .with_root_certificates(self.roots()?)
            .with_client_auth_cert(self.chain.clone(), self.key.clone_key())?;
        config.alpn_protocols = vec![ALPN.to_vec()];
        let mut client = quinn::ClientConfig::new(Arc::new(QuicClientConfig::try_from(config)?));
        client.transport_config(Arc::new(transport_config()?));
        Ok(client)
    }
}

fn transport_config() -> Result<quinn::TransportConfig, Error> {
    let mut acks = quinn::AckFrequencyConfig::default();
    acks.ack_eliciting_threshold(ACK_PACKETS.into())
        .max_ack_delay(Some(ACK_DELAY));
    let mut transport = quinn::TransportConfig::default();
    transport
        .ack_frequency_config(Some(acks))
        .max_concurrent_uni_streams(1_u8.into())
        .max_concurrent_bidi_streams(0_u8.into())
        .max_idle_timeout(Some(quinn::VarInt::from_u32(IDLE_TIMEOUT_MS).into()))
        .initial_rtt(Duration::from_millis(20));
    Ok(transport)
}

/// Returns the certificate that the peer presented, or `None` before the handshake is complete.
pub(crate) fn peer_certificate(connection: &quinn::Connection) -> Option<CertificateDer<'static>> {
    let identity = connection.peer_identity()?;
    let chain = identity.downcast::<Vec<CertificateDer<'static>>>().ok()?;
    chain.into_iter().next()
}

/// Returns whether the certificate that the peer presented names the host.
pub(crate) fn certificate_names_host(connection: &quinn::Connection, host: &name::Host) -> bool {
    let Ok(server) = ServerName::try_from(host.as_str()) else {
        return false;
    };
    peer_certificate(connection)
        .as_ref()
        .and_then(|certificate| ParsedCertificate::try_from(certificate).ok())
        .is_some_and(|parsed| verify_server_name(&parsed, &server).is_ok())
}
