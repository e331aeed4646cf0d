//! Names and addresses of several upstreams in one process.

use std::net::{IpAddr, SocketAddr};

/// Which part of the address differs between the upstreams of one process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Step {
    /// The IP address is counted up; the port stays.
    Ip,
    /// The port is counted up; the IP address stays.
    #[default]
    Port,
}

/// Why a text is not a [`Step`].
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{0:?} is not a step; use ip or port")]
pub struct Error(String);

/// No address was given.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("no address; give --listen IP:PORT")]
pub struct Empty;

impl std::str::FromStr for Step {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        match text {
            "ip" => Ok(Self::Ip),
            "port" => Ok(Self::Port),
            _ => Err(Error(text.to_owned())),
        }
    }
}

/// Returns name and address of each upstream.
///
/// A single upstream has the name as given; of several, the first is `NAME-1`. If there are fewer
/// addresses than upstreams, the others follow the last address given. Port 0 is not counted up.
///
/// # Errors
///
/// Returns [`Empty`] without any address.
///
/// ```
/// use tsw_fake::names;
///
/// let first = "127.0.1.1:9000".parse()?;
/// let all = names::expand("engine", &[first], 2, names::Step::Ip)?;
/// assert_eq!(all[1], ("engine-2".to_owned(), "127.0.1.2:9000".parse()?));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
pub fn expand(
    name: &str,
    listen: &[SocketAddr],
    count: usize,
    step: Step,
) -> Result<Vec<(String, SocketAddr)>, Empty> {
    let last = *listen.last().ok_or(Empty)?;
    let count = count.max(listen.len());
    let all = (0..count).map(|index| {
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
    Ok(all.collect())
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
