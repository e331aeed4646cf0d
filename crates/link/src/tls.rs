//! Certificates of the fleet and the checks of a peer.

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
/// A session without traffic ends after this time. A peer that runs is probed more often in small
/// fleets; in large ones sessions that are not in use free their memory.
const IDLE_TIMEOUT_MS: u32 = 10_000;
/// Packets that a peer may receive before it acknowledges them, unless the delay below passes first.
/// Most packets hold one small message, so that the default of two doubles the cost of each.
const ACK_PACKETS: u32 = 16;
/// Longest time before an acknowledgement, the default of the protocol. It adds to the time after
/// which a lost packet is sent again.
const ACK_DELAY: Duration = Duration::from_millis(25);
/// Label of the key for the tokens of stateless resets (RFC 9000, section 10.3.2).
const RESET_LABEL: &[u8] = b"toucanswitch stateless reset";
/// Label of the key that marks connection ids as those of this host.
const CONNECTION_ID_LABEL: &[u8] = b"toucanswitch connection id";

/// Why the certificates cannot be used.
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
    /// The certificate, key or authority is refused.
    #[error("the certificates in tls are refused: {0}")]
    Refused(#[from] rustls::Error),
    /// The authority cannot be used to check peers.
    #[error("the certificate in tls.authority is refused: {0}")]
    Authority(#[from] VerifierBuilderError),
    /// The cipher suites do not suit QUIC.
    #[error("the cipher suites do not suit QUIC: {0}")]
    Suite(#[from] NoInitialCipherSuite),
    /// The idle time-out is out of range.
    #[error("the idle time-out is out of range: {0}")]
    Idle(#[from] quinn::VarIntBoundsExceeded),
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
    /// Takes certificates and a key in DER form.
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
    /// Returns which file cannot be read.
    pub fn load(authority: &Path, certificate: &Path, key: &Path) -> Result<Self, Error> {
        let fault = |name, path: &Path| {
            let path = path.to_owned();
            move |source| Error::File {
                key: name,
                path,
                source,
            }
        };
        let chain = CertificateDer::pem_file_iter(certificate)
            .and_then(Iterator::collect)
            .map_err(fault("certificate", certificate))?;
        Ok(Self {
            authority: CertificateDer::from_pem_file(authority)
                .map_err(fault("authority", authority))?,
            chain,
            key: PrivateKeyDer::from_pem_file(key).map_err(fault("key", key))?,
        })
    }

    fn roots(&self) -> Result<RootCertStore, Error> {
        let mut roots = RootCertStore::empty();
        roots.add(self.authority.clone())?;
        Ok(roots)
    }

    /// Returns the settings of the endpoint. Connection ids and the tokens that end a connection
    /// derive from the private key, so a later run of the same host recognizes packets that were
    /// meant for an earlier run, and its answer ends the peer's session at once.
    pub(crate) fn endpoint(&self) -> quinn::EndpointConfig {
        let secret = hmac::Key::new(hmac::HMAC_SHA256, self.key.secret_der());
        let reset = hmac::sign(&secret, RESET_LABEL);
        let mut id_key = [0; 8];
        id_key.copy_from_slice(&hmac::sign(&secret, CONNECTION_ID_LABEL).as_ref()[..8]);
        let id_key = u64::from_be_bytes(id_key);
        let reset = hmac::Key::new(hmac::HMAC_SHA256, reset.as_ref());
        let mut config = quinn::EndpointConfig::new(Arc::new(reset));
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
        server.transport_config(Arc::new(transport()?));
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
        client.transport_config(Arc::new(transport()?));
        Ok(client)
    }
}

fn transport() -> Result<quinn::TransportConfig, Error> {
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

/// Returns the certificate that the peer presented, or none while the handshake lasts.
pub(crate) fn certificate(connection: &quinn::Connection) -> Option<CertificateDer<'static>> {
    let identity = connection.peer_identity()?;
    let chain = identity.downcast::<Vec<CertificateDer<'static>>>().ok()?;
    chain.into_iter().next()
}

/// Checks that the certificate a peer presented names the host.
pub(crate) fn names(connection: &quinn::Connection, host: &name::Host) -> bool {
    let Ok(server) = ServerName::try_from(host.as_str()) else {
        return false;
    };
    certificate(connection)
        .as_ref()
        .and_then(|certificate| ParsedCertificate::try_from(certificate).ok())
        .is_some_and(|parsed| verify_server_name(&parsed, &server).is_ok())
}
