//! Free ports on a loopback address that only this run uses.
//!
//! A port that was found free is released before the process that is to use it starts. A loopback
//! address of the run's own keeps other programs and outgoing connections from taking it meanwhile.

use std::{
    collections::HashSet,
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
};

use rand::Rng;

/// Hands out free ports, none of them twice.
#[derive(Debug)]
pub struct Ports {
    ip: IpAddr,
    taken: HashSet<u16>,
}

impl Ports {
    /// Picks a loopback address at random.
    #[must_use]
    pub fn new() -> Self {
        let mut random = rand::thread_rng();
        let ip = Ipv4Addr::new(
            127,
            random.gen_range(1..255),
            random.gen_range(0..255),
            random.gen_range(1..255),
        );
        Self {
            ip: IpAddr::V4(ip),
            taken: HashSet::new(),
        }
    }

    /// Returns the loopback address of the run.
    #[must_use]
    pub const fn ip(&self) -> IpAddr {
        self.ip
    }

    /// Returns an address with a free TCP port.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub fn tcp(&mut self) -> io::Result<SocketAddr> {
        loop {
            let address = TcpListener::bind((self.ip, 0))?.local_addr()?;
            if self.taken.insert(address.port()) {
                return Ok(address);
            }
        }
    }

    /// Returns an address with a free UDP port.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub fn udp(&mut self) -> io::Result<SocketAddr> {
        loop {
            let address = UdpSocket::bind((self.ip, 0))?.local_addr()?;
            if self.taken.insert(address.port()) {
                return Ok(address);
            }
        }
    }
}

impl Default for Ports {
    fn default() -> Self {
        Self::new()
    }
}
