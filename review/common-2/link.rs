//! A link between consumers and a router with small windows, as between two machines, that can be squeezed.

use std::{
    io::{Read as _, Write as _},
    net::{Shutdown, SocketAddr, SocketAddrV4, TcpListener, TcpStream},
    os::fd::FromRawFd as _,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread,
    time::Duration,
};

extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(fd: i32, address: *const u8, length: u32) -> i32;
}

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;
/// Segment size of an Ethernet link; that of the loopback interface is 64 KiB.
const SEGMENT_BYTES: i32 = 1_460;
/// Receive window.
const WINDOW_BYTES: i32 = 16_384;
/// What a squeezed link carries in a step.
const SQUEEZED_BYTES: usize = 2_048;
const STEP: Duration = Duration::from_millis(50);

/// Connects with the segments and windows of a link between machines.
pub fn connect_narrow(to: SocketAddrV4) -> std::io::Result<TcpStream> {
    let mut address = Vec::from((AF_INET as u16).to_ne_bytes());
    address.extend_from_slice(&to.port().to_be_bytes());
    address.extend_from_slice(&to.ip().octets());
    address.extend_from_slice(&[0; 8]);
    // SAFETY: the calls get valid pointers with their lengths, and the descriptor is owned by the stream.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(std::io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        let set = |level, name, value: i32| setsockopt(fd, level, name, &value, 4);
        set(IPPROTO_TCP, TCP_MAXSEG, SEGMENT_BYTES);
        set(SOL_SOCKET, SO_RCVBUF, WINDOW_BYTES);
        if connect(fd, address.as_ptr(), 16) != 0 {
            return Err(std::io::Error::last_os_error());
        }
        Ok(stream)
    }
}

pub struct Link {
    pub address: SocketAddr,
    squeezed: Arc<AtomicBool>,
}

impl Link {
    pub fn start(to: SocketAddr) -> std::io::Result<Self> {
        let SocketAddr::V4(to) = to else {
            return Err(std::io::ErrorKind::AddrNotAvailable.into());
        };
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let squeezed: Arc<AtomicBool> = Arc::default();
        let is_squeezed = squeezed.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = connect_narrow(to) else { continue };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let (Ok(near_in), Ok(far_out)) = (near.try_clone(), far.try_clone()) else { continue };
                thread::spawn(move || copy(near_in, far_out, None));
                let is_squeezed = is_squeezed.clone();
                thread::spawn(move || copy(far, near, Some(is_squeezed)));
            }
        });
        Ok(Self { address, squeezed })
    }

    pub fn squeeze(&self, squeezed: bool) {
        self.squeezed.store(squeezed, Ordering::Relaxed);
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream, squeezed: Option<Arc<AtomicBool>>) {
    let mut bytes = [0; 8_192];
    loop {
        let is_squeezed = squeezed.as_ref().is_some_and(|squeezed| squeezed.load(Ordering::Relaxed));
        let most = if is_squeezed { SQUEEZED_BYTES } else { bytes.len() };
        match from.read(&mut bytes[..most]) {
            Ok(read) if read > 0 && to.write_all(&bytes[..read]).is_ok() => {}
            _ => break,
        }
        if is_squeezed {
            thread::sleep(STEP);
        }
    }
    let _ = (to.shutdown(Shutdown::Write), from.shutdown(Shutdown::Read));
}
