//! Names and addresses of several upstreams in one process.

use std::net::{IpAddr, SocketAddr};

/// The part of the address that is incremented for each upstream of one process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Step {
    /// The IP address is incremented; the port stays the same.
    Ip,
    /// The port is incremented; the IP address stays the same.
    #[default]
    Port,
}

/// The text is not a [`Step`].
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{0:?} is not a step; use ip or port")]
pub struct InvalidStep(String);

/// No address was given.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("no address; give --listen IP:PORT")]
pub struct NoAddress;

impl std::str::FromStr for Step {
    type Err = InvalidStep;

    fn from_str(text: &str) -> Result<Self, InvalidStep> {
        match text {
            "ip" => Ok(Self::Ip),
            "port" => Ok(Self::Port),
            _ => Err(InvalidStep(text.to_owned())),
        }
    }
}

/// Returns the name and the address of each upstream.
///
/// A single upstream has the given name; several are named `NAME-1`, `NAME-2` and so on. If there
/// are fewer addresses than upstreams, the others get the addresses that follow the last one. Port
/// 0 is not incremented, as it stands for any free port.
///
/// # Errors
///
/// Returns [`NoAddress`] if `listen` is empty.
///
/// ```
/// use tsw_fake::names;
///
/// let first = "127.0.1.1:9000".parse()?;
/// let upstreams = names::expand("engine", &[first], 2, names::Step::Ip)?;
/// assert_eq!(upstreams[1], ("engine-2".to_owned(), "127.0.1.2:9000".parse()?));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
pub fn expand(
    name: &str,
    listen: &[SocketAddr],
    count: usize,
    step: Step,
) -> Result<Vec<(String, SocketAddr)>, NoAddress> {
    let last = *listen.last().ok_or(NoAddress)?;
    let count = count.max(listen.len());
    let upstreams = (0..count).map(|index| {
        let address = match listen.get(index) {
            Some(address) => *address,
            None => advance(last, index + 1 - listen.len(), step),
        };
        let name = match count {
            1 => name.to_owned(),
            _ => format!("{name}-{}", index + 1),
        };
        (name, address)
    });
    Ok(upstreams.collect())
}

fn advance(mut address: SocketAddr, by: usize, step: Step) -> SocketAddr {
    match step {
        Step::Port if address.port() == 0 => {}
        Step::Port => address.set_port(address.port().wrapping_add(by as u16)),
        Step::Ip => address.set_ip(match address.ip() {
            IpAddr::V4(ip) => IpAddr::V4((u32::from(ip).wrapping_add(by as u32)).into()),
            IpAddr::V6(ip) => IpAddr::V6((u128::from(ip).wrapping_add(by as u128)).into()),
        }),
    }
    address
}
