//! Loopback addresses.

#![allow(dead_code)] // Each test file uses only some items.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::atomic::{AtomicU8, Ordering},
};

use tokio::net::TcpSocket;

/// Returns a loopback address that no other router of any test uses, so that no other process takes a
/// free port of it before the router listens there.
pub fn unique_loopback() -> Ipv4Addr {
    static ROUTERS: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let router = ROUTERS.fetch_add(1, Ordering::Relaxed);
    Ipv4Addr::new(127, high | 0x80, low, router)
}

/// Returns an address that refuses connections while the returned socket exists. Without the bound
/// socket, another test could start to listen on the port.
pub fn refusing() -> (TcpSocket, SocketAddr) {
    let socket = TcpSocket::new_v4().expect("a socket");
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    socket.bind(any).expect("a free port");
    let address = socket.local_addr().expect("bound");
    (socket, address)
}
