//! QUIC sessions with mutual TLS between routers.
//!
//! A router opens one connection to each peer that it has messages for and sends them on one
//! unidirectional stream; the peer's messages arrive on a connection that the peer opens. All
//! sockets and tasks run on the arbiter that calls [`Link::bind`].
//!
//! - [`tls`]: certificates of the fleet, and verification of a peer's certificate.
//! - [`Link`]: sends messages to peers and reports received messages and session changes.
//! - [`LinkEvent`]: a received message or a change of a session.
//! - [`Traffic`]: byte and frame counters.
//!
//! # Example
//!
//! Two routers in one process on loopback addresses, with certificates from an authority that is
//! generated for the example.
//!
//! ```
//! use std::{net::SocketAddr, time::Duration};
//! use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};
//! use rustls_pki_types::PrivateKeyDer;
//! use tsw_base::host;
//! use tsw_link::{tls::Identity, Link, LinkEvent, Options};
//! use tsw_wire::message::{Fetch, Hello, Message, VERSION};
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let mut authority = CertificateParams::new(Vec::new())?;
//! authority.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
//! let authority = CertifiedIssuer::self_signed(authority, KeyPair::generate()?)?;
//! let bind = |host: &str, port: u16, on_event| -> Result<Link, Box<dyn std::error::Error>> {
//!     // The certificate names the host as a DNS name.
//!     let key = KeyPair::generate()?;
//!     let certificate = CertificateParams::new(vec![host.into()])?.signed_by(&key, &authority)?;
//!     let key = PrivateKeyDer::Pkcs8(key.serialize_der().into());
//!     let chain = vec![certificate.der().clone()];
//!     let identity = Identity::new(authority.der().clone(), chain, key);
//!     let id = host::Id { host: host.parse()?, incarnation: host::Incarnation::new(1, 0) };
//!     let hello = Hello { version: VERSION, id, domain: "north".parse()? };
//!     // The daemon starts each session with the grants it holds; this example sends nothing.
//!     let initial_messages = Box::new(|_: &_| Vec::new());
//!     let address = SocketAddr::from(([127, 0, 0, 1], port));
//!     Ok(Link::bind(address, &identity, hello, Options::default(), initial_messages, on_event)?)
//! };
//!
//! actix_rt::System::new().block_on(async {
//!     let port = std::net::UdpSocket::bind("127.0.0.1:0")?.local_addr()?.port();
//!     let (inbox, mut received) = tokio::sync::mpsc::unbounded_channel();
//!     let first = bind("r1", 0, Box::new(|_| ()))?;
//!     let second = bind("r2", port, Box::new(move |event| {
//!         if let LinkEvent::Message { from, message } = event {
//!             let _ = inbox.send((from.host, *message));
//!         }
//!     }))?;
//!
//!     let message = Message::Fetch(Fetch { bundle: 7, hosts: 12 });
//!     first.set_address(&"r2".parse()?, Some(([127, 0, 0, 1], port).into()));
//!     first.send(&"r2".parse()?, message.clone());
//!     let arrived = actix_rt::time::timeout(Duration::from_secs(5), received.recv()).await?;
//!     assert_eq!(arrived, Some(("r1".parse()?, message)));
//!     first.close(Duration::from_secs(1)).await;
//!     second.close(Duration::from_secs(1)).await;
//!     Ok(())
//! })
//! # }
//! ```

mod inbound;
mod outbound;
mod session;
pub mod tls;

pub use session::{Error, Link, LinkEvent, Options, Traffic};
