//! Relays traffic between failure domains and simulates one-way delay, loss and cut links.
//!
//! Each relay listens on its own port. The host list shows routers of another failure domain the
//! address of the relay instead of the real one.

use std::{
    collections::HashMap,
    convert::Infallible,
    future::Future,
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener as StdListener, UdpSocket as StdSocket},
    sync::{
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{tcp, TcpListener, TcpStream, UdpSocket},
    runtime,
    sync::{mpsc, Notify},
};

use crate::delay;

const MAX_DATAGRAM_BYTES: usize = 65_536;
const CHUNK_BYTES: usize = 16_384;
const CUT_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Loopback address with a port that the system chooses.
const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// State of the simulated link from one failure domain to another, in one direction.
#[derive(Debug, Default)]
pub struct Link {
    delay_us: AtomicU64,
    drop_ppm: AtomicU32,
    cut: AtomicBool,
    reset: Notify,
}

impl Link {
    /// Returns a link with the one-way `delay`.
    #[must_use]
    pub fn new(delay: Duration) -> Arc<Self> {
        let link = Self::default();
        link.set_delay(delay);
        Arc::new(link)
    }

    /// Sets the one-way delay of data that arrives from now on.
    pub fn set_delay(&self, delay: Duration) {
        let micros = u64::try_from(delay.as_micros()).unwrap_or(u64::MAX);
        self.delay_us.store(micros, Ordering::Relaxed);
    }

    /// Resets both connections of each open stream whose forward direction uses this link.
    pub fn reset(&self) {
        self.reset.notify_waiters();
    }

    /// Cuts or restores the link. While it is cut, datagrams are dropped and streams stall.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
    }

    /// Sets the fraction of datagrams that are dropped, in parts per million.
    pub fn set_drop_ppm(&self, ppm: u32) {
        self.drop_ppm.store(ppm, Ordering::Relaxed);
    }

    fn is_cut(&self) -> bool {
        self.cut.load(Ordering::Relaxed)
    }

    fn delivery_time(&self) -> Instant {
        Instant::now() + Duration::from_micros(self.delay_us.load(Ordering::Relaxed))
    }

    fn should_drop(&self, random: &mut Pcg64Mcg) -> bool {
        let ppm = self.drop_ppm.load(Ordering::Relaxed);
        self.is_cut() || (ppm > 0 && random.gen_range(0..1_000_000) < ppm)
    }
}

/// Runs relays on a dedicated thread. They end when it and its clones are dropped.
#[derive(Clone)]
pub struct Relay {
    timer: delay::Timer,
    handle: runtime::Handle,
    seed: u64,
    /// Closed when the last clone is dropped, which ends the thread and frees the ports.
    _running: mpsc::Sender<Infallible>,
}

impl Relay {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Returns an error when the runtime cannot be created.
    pub fn start(timer: delay::Timer, seed: u64) -> io::Result<Self> {
        let runtime = runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let handle = runtime.handle().clone();
        let (running, mut ended) = mpsc::channel::<Infallible>(1);
        thread::spawn(move || runtime.block_on(ended.recv()));
        Ok(Self {
            timer,
            handle,
            seed,
            _running: running,
        })
    }

    /// Starts a relay of datagrams to and from `target`, and returns the address to send to.
    ///
    /// # Errors
    ///
    /// Returns an error when the socket cannot be bound.
    pub fn udp(
        &self,
        target: SocketAddr,
        forward: Arc<Link>,
        back: Arc<Link>,
    ) -> io::Result<SocketAddr> {
        self.udp_at(ANY_PORT, target, forward, back)
    }

    /// Starts a relay of datagrams to and from `target` that listens on `address`, and returns the address to send
    /// to.
    ///
    /// # Errors
    ///
    /// Returns an error when the socket cannot be bound.
    pub fn udp_at(
        &self,
        address: SocketAddr,
        target: SocketAddr,
        forward: Arc<Link>,
        back: Arc<Link>,
    ) -> io::Result<SocketAddr> {
        let socket = bind_udp(address)?;
        let address = socket.local_addr()?;
        let seed = self.seed ^ u64::from(address.port());
        let relay = DatagramRelay {
            timer: self.timer.clone(),
            target,
            forward,
            back,
            random: Pcg64Mcg::seed_from_u64(seed),
        };
        self.handle.spawn(async move {
            if let Ok(socket) = UdpSocket::from_std(socket) {
                relay.run(Arc::new(socket)).await;
            }
        });
        Ok(address)
    }

    /// Starts a relay of TCP connections to `target`, and returns the address to connect to.
    ///
    /// # Errors
    ///
    /// Returns an error when the listener cannot be bound.
    pub fn tcp(
        &self,
        target: SocketAddr,
        forward: Arc<Link>,
        back: Arc<Link>,
    ) -> io::Result<SocketAddr> {
        let listener = StdListener::bind(ANY_PORT)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let timer = self.timer.clone();
        self.handle.spawn(async move {
            let Ok(listener) = TcpListener::from_std(listener) else {
                return;
            };
            loop {
                let Ok((client, _)) = listener.accept().await else {
                    continue;
                };
                let (forward, back) = (Arc::clone(&forward), Arc::clone(&back));
                tokio::spawn(relay_stream(timer.clone(), client, target, forward, back));
            }
        });
        Ok(address)
    }
}

fn bind_udp(address: SocketAddr) -> io::Result<StdSocket> {
    let socket = StdSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

/// Relays datagrams of any number of senders to one target. Each sender gets its own socket towards
/// the target, so that replies can be sent back to it.
struct DatagramRelay {
    timer: delay::Timer,
    target: SocketAddr,
    forward: Arc<Link>,
    back: Arc<Link>,
    random: Pcg64Mcg,
}

impl DatagramRelay {
    async fn run(mut self, listener: Arc<UdpSocket>) {
        let mut target_sockets: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            // Errors come from earlier sends to a closed port and are ignored.
            let Ok((len, sender)) = listener.recv_from(&mut buffer).await else {
                continue;
            };
            if self.forward.should_drop(&mut self.random) {
                continue;
            }
            let target_socket = match target_sockets.get(&sender) {
                Some(socket) => Arc::clone(socket),
                None => {
                    let Ok(socket) = bind_udp(ANY_PORT).and_then(UdpSocket::from_std) else {
                        continue;
                    };
                    let socket = Arc::new(socket);
                    target_sockets.insert(sender, Arc::clone(&socket));
                    tokio::spawn(self.relay_replies(
                        Arc::clone(&socket),
                        Arc::clone(&listener),
                        sender,
                    ));
                    socket
                }
            };
            let (bytes, target) = (buffer[..len].to_vec(), self.target);
            self.timer.schedule(self.forward.delivery_time(), move || {
                let _ = target_socket.try_send_to(&bytes, target);
            });
        }
    }

    /// Returns a task that relays the datagrams of the target back to `sender`.
    fn relay_replies(
        &mut self,
        target_socket: Arc<UdpSocket>,
        listener: Arc<UdpSocket>,
        sender: SocketAddr,
    ) -> impl Future<Output = ()> + Send + 'static {
        let (timer, link) = (self.timer.clone(), Arc::clone(&self.back));
        let mut random = Pcg64Mcg::seed_from_u64(self.random.gen());
        async move {
            let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
            loop {
                let Ok((len, _)) = target_socket.recv_from(&mut buffer).await else {
                    continue;
                };
                if link.should_drop(&mut random) {
                    continue;
                }
                let (bytes, listener) = (buffer[..len].to_vec(), Arc::clone(&listener));
                timer.schedule(link.delivery_time(), move || {
                    let _ = listener.try_send_to(&bytes, sender);
                });
            }
        }
    }
}

async fn relay_stream(
    timer: delay::Timer,
    client: TcpStream,
    target: SocketAddr,
    forward: Arc<Link>,
    back: Arc<Link>,
) {
    while forward.is_cut() || back.is_cut() {
        tokio::time::sleep(CUT_POLL_INTERVAL).await;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let sockets = [&client, &server].map(|stream| SockRef::from(stream).try_clone());
    let reset_link = Arc::clone(&forward);
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let mut up = tokio::spawn(copy_delayed(
        timer.clone(),
        client_read,
        server_write,
        forward,
    ));
    let mut down = tokio::spawn(copy_delayed(timer, server_read, client_write, back));
    // An error in one direction closes the other one too; an end of file does not.
    let failed = tokio::select! {
        up = &mut up => !matches!(up, Ok(Ok(()))),
        down = &mut down => !matches!(down, Ok(Ok(()))),
        () = reset_link.reset.notified() => {
            for socket in sockets.iter().flatten() {
                // Closing a socket with a linger time of zero sends a reset.
                let _ = socket.set_linger(Some(Duration::ZERO));
            }
            true
        }
    };
    if failed {
        up.abort();
        down.abort();
    }
}

/// Copies the bytes of one direction of a stream with the delay of `link`, and stalls while it is
/// cut. An end of file is passed on in order.
async fn copy_delayed(
    timer: delay::Timer,
    mut from: tcp::OwnedReadHalf,
    mut to: tcp::OwnedWriteHalf,
    link: Arc<Link>,
) -> io::Result<()> {
    let (sender, mut chunks) = mpsc::unbounded_channel::<Vec<u8>>();
    let read_link = Arc::clone(&link);
    let read = async move {
        let mut buffer = vec![0; CHUNK_BYTES];
        loop {
            let len = from.read(&mut buffer).await?;
            let (bytes, sender) = (buffer[..len].to_vec(), sender.clone());
            timer.schedule(read_link.delivery_time(), move || {
                let _ = sender.send(bytes);
            });
            if len == 0 {
                return Ok(());
            }
        }
    };
    let write = async move {
        while let Some(bytes) = chunks.recv().await {
            while link.is_cut() {
                tokio::time::sleep(CUT_POLL_INTERVAL).await;
            }
            // An empty chunk marks the end of file.
            if bytes.is_empty() {
                break;
            }
            to.write_all(&bytes).await?;
        }
        to.shutdown().await
    };
    let ((), ()) = tokio::try_join!(read, write)?;
    Ok(())
}
