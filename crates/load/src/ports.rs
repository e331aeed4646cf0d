//! Finds free ports on a random loopback address.
//!
//! A port that was found free is released before the process that is to use it starts. The random
//! address keeps other programs and outgoing connections from taking the port in between.

use std::{
    collections::HashSet,
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
};

use rand::Rng;

/// Allocates free ports, none of them twice.
#[derive(Debug)]
pub struct Ports {
    ip: IpAddr,
    allocated: HashSet<u16>,
}

impl Ports {
    /// Chooses a loopback address at random.
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
            allocated: HashSet::new(),
        }
    }

    /// Returns the loopback address.
    #[must_use]
    pub const fn ip(&self) -> IpAddr {
        self.ip
    }

    /// Returns an address with a free TCP port.
    ///
    /// # Errors
    ///
    /// Returns an error when no socket can be bound.
    pub fn tcp(&mut self) -> io::Result<SocketAddr> {
        loop {
            let address = TcpListener::bind((self.ip, 0))?.local_addr()?;
            if self.allocated.insert(address.port()) {
                return Ok(address);
            }
        }
    }

    /// Returns an address with a free UDP port.
    ///
    /// # Errors
    ///
    /// Returns an error when no socket can be bound.
    pub fn udp(&mut self) -> io::Result<SocketAddr> {
        loop {
            let address = UdpSocket::bind((self.ip, 0))?.local_addr()?;
            if self.allocated.insert(address.port()) {
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
