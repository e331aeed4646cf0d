//! Links that can be cut: of one router to the store, and of all routers to each other.

use std::{
    io::{Read as _, Write as _},
    net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread,
    time::Duration,
};

/// Whether a router is cut off.
pub type Cut = Arc<AtomicBool>;

fn wait_until_whole(cut: &Cut) {
    while cut.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(5));
    }
}

/// Carries the connections of a router to the store. While it is cut, nothing arrives, and nothing is reset.
pub fn store_link(to: SocketAddr, cut: Cut) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(to) else { continue };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            let (Ok(near_in), Ok(far_out)) = (near.try_clone(), far.try_clone()) else { continue };
            let there = cut.clone();
            thread::spawn(move || copy(near_in, far_out, &there));
            let back = cut.clone();
            thread::spawn(move || copy(far, near, &back));
        }
    });
    Ok(address)
}

fn copy(mut from: TcpStream, mut to: TcpStream, cut: &Cut) {
    let mut bytes = [0; 65_536];
    while let Ok(read) = from.read(&mut bytes) {
        wait_until_whole(cut);
        if read == 0 || to.write_all(&bytes[..read]).is_err() {
            break;
        }
    }
    let _ = (to.shutdown(Shutdown::Write), from.shutdown(Shutdown::Read));
}

/// Carries the datagrams for one router. While it, or the router that sends, is cut off, they are lost.
pub fn gossip_link(at: SocketAddr, to: SocketAddr, own: Cut, others: Vec<(IpAddr, Cut)>) -> std::io::Result<()> {
    let socket = UdpSocket::bind(at)?;
    thread::spawn(move || {
        let mut bytes = [0; 65_536];
        while let Ok((read, source)) = socket.recv_from(&mut bytes) {
            let sender = others.iter().find(|(ip, _)| *ip == source.ip());
            let is_cut = own.load(Ordering::Relaxed) || sender.is_some_and(|(_, cut)| cut.load(Ordering::Relaxed));
            if !is_cut {
                let _ = socket.send_to(&bytes[..read], to);
            }
        }
    });
    Ok(())
}
