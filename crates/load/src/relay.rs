//! Carries traffic between failure domains with a one-way delay, loss and cuts.
//!
//! Each relay listens on its own loopback address. The host list gives routers of another failure
//! domain the relay's address in place of the real one.

use std::{
    collections::HashMap,
    future::Future,
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener as StdListener, UdpSocket as StdSocket},
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

const DATAGRAM_BYTES: usize = 65_536;
const CHUNK_BYTES: usize = 16_384;
const CUT_POLL: Duration = Duration::from_millis(5);

/// State of the way from one failure domain to another.
#[derive(Debug, Default)]
pub struct Path {
    delay_us: AtomicU64,
    drop_ppm: AtomicU32,
    cut: AtomicBool,
    reset: Notify,
}

impl Path {
    /// Returns a path with the one-way `delay`.
    #[must_use]
    pub fn new(delay: Duration) -> Arc<Self> {
        let path = Self::default();
        path.set_delay(delay);
        Arc::new(path)
    }

    /// Sets the one-way delay of what arrives from now on.
    pub fn set_delay(&self, delay: Duration) {
        let micros = u64::try_from(delay.as_micros()).unwrap_or(u64::MAX);
        self.delay_us.store(micros, Ordering::Relaxed);
    }

    /// Resets the open streams on both sides.
    pub fn reset(&self) {
        self.reset.notify_waiters();
    }

    /// Cuts the path or restores it. Datagrams are dropped while it is cut; streams stall.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
    }

    /// Sets the part of datagrams that are dropped, in millionths.
    pub fn set_drop_ppm(&self, ppm: u32) {
        self.drop_ppm.store(ppm, Ordering::Relaxed);
    }

    fn is_cut(&self) -> bool {
        self.cut.load(Ordering::Relaxed)
    }

    fn due(&self) -> Instant {
        Instant::now() + Duration::from_micros(self.delay_us.load(Ordering::Relaxed))
    }

    fn loses(&self, random: &mut Pcg64Mcg) -> bool {
        let ppm = self.drop_ppm.load(Ordering::Relaxed);
        self.is_cut() || (ppm > 0 && random.gen_range(0..1_000_000) < ppm)
    }
}

/// Runs relays on a thread of its own.
#[derive(Clone)]
pub struct Relay {
    timer: delay::Timer,
    handle: runtime::Handle,
    seed: u64,
}

impl Relay {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Returns the error of the runtime.
    pub fn start(timer: delay::Timer, seed: u64) -> io::Result<Self> {
        let runtime = runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let handle = runtime.handle().clone();
        thread::spawn(move || runtime.block_on(std::future::pending::<()>()));
        Ok(Self {
            timer,
            handle,
            seed,
        })
    }

    /// Relays datagrams to `target` and back; returns the address to send to.
    ///
    /// # Errors
    ///
    /// Returns the error of the sockets.
    pub fn udp(
        &self,
        target: SocketAddr,
        forward: Arc<Path>,
        back: Arc<Path>,
    ) -> io::Result<SocketAddr> {
        let front = bind_udp()?;
        let address = front.local_addr()?;
        let seed = self.seed ^ u64::from(address.port());
        let relay = Datagrams {
            timer: self.timer.clone(),
            target,
            forward,
            back,
            random: Pcg64Mcg::seed_from_u64(seed),
        };
        self.handle.spawn(async move {
            if let Ok(front) = UdpSocket::from_std(front) {
                relay.run(Arc::new(front)).await;
            }
        });
        Ok(address)
    }

    /// Relays streams to `target`; returns the address to connect to.
    ///
    /// # Errors
    ///
    /// Returns the error of the listener.
    pub fn tcp(
        &self,
        target: SocketAddr,
        forward: Arc<Path>,
        back: Arc<Path>,
    ) -> io::Result<SocketAddr> {
        let listener = StdListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let timer = self.timer.clone();
        self.handle.spawn(async move {
            let Ok(listener) = TcpListener::from_std(listener) else {
                return;
            };
            loop {
                let Ok((near, _)) = listener.accept().await else {
                    continue;
                };
                let (forward, back) = (Arc::clone(&forward), Arc::clone(&back));
                tokio::spawn(stream(timer.clone(), near, target, forward, back));
            }
        });
        Ok(address)
    }
}

fn bind_udp() -> io::Result<StdSocket> {
    let socket = StdSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

/// Carries datagrams of any number of senders to one target, with a socket for each sender so that
/// answers find their way back.
struct Datagrams {
    timer: delay::Timer,
    target: SocketAddr,
    forward: Arc<Path>,
    back: Arc<Path>,
    random: Pcg64Mcg,
}

impl Datagrams {
    async fn run(mut self, front: Arc<UdpSocket>) {
        let mut rears: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
        let mut buffer = vec![0; DATAGRAM_BYTES];
        loop {
            // Errors are those of earlier sends to a closed port; the relay goes on.
            let Ok((len, sender)) = front.recv_from(&mut buffer).await else {
                continue;
            };
            if self.forward.loses(&mut self.random) {
                continue;
            }
            let rear = match rears.get(&sender) {
                Some(rear) => Arc::clone(rear),
                None => {
                    let Ok(rear) = bind_udp().and_then(UdpSocket::from_std) else {
                        continue;
                    };
                    let rear = Arc::new(rear);
                    rears.insert(sender, Arc::clone(&rear));
                    tokio::spawn(self.answers(Arc::clone(&rear), Arc::clone(&front), sender));
                    rear
                }
            };
            let (bytes, target) = (buffer[..len].to_vec(), self.target);
            self.timer.schedule(self.forward.due(), move || {
                let _ = rear.try_send_to(&bytes, target);
            });
        }
    }

    fn answers(
        &mut self,
        rear: Arc<UdpSocket>,
        front: Arc<UdpSocket>,
        sender: SocketAddr,
    ) -> impl Future<Output = ()> + Send + 'static {
        let (timer, path) = (self.timer.clone(), Arc::clone(&self.back));
        let mut random = Pcg64Mcg::seed_from_u64(self.random.gen());
        async move {
            let mut buffer = vec![0; DATAGRAM_BYTES];
            loop {
                let Ok((len, _)) = rear.recv_from(&mut buffer).await else {
                    continue;
                };
                if path.loses(&mut random) {
                    continue;
                }
                let (bytes, front) = (buffer[..len].to_vec(), Arc::clone(&front));
                timer.schedule(path.due(), move || {
                    let _ = front.try_send_to(&bytes, sender);
                });
            }
        }
    }
}

async fn stream(
    timer: delay::Timer,
    near: TcpStream,
    target: SocketAddr,
    forward: Arc<Path>,
    back: Arc<Path>,
) {
    while forward.is_cut() || back.is_cut() {
        tokio::time::sleep(CUT_POLL).await;
    }
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let sockets = [&near, &far].map(|stream| SockRef::from(stream).try_clone());
    let resets = Arc::clone(&forward);
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let mut up = tokio::spawn(pump(timer.clone(), near_read, far_write, forward));
    let mut down = tokio::spawn(pump(timer, far_read, near_write, back));
    // A failed direction ends the other one; an orderly end of one direction does not.
    let failed = tokio::select! {
        up = &mut up => !matches!(up, Ok(Ok(()))),
        down = &mut down => !matches!(down, Ok(Ok(()))),
        () = resets.reset.notified() => {
            for socket in sockets.iter().flatten() {
                // A socket that lingers for no time is reset when it is closed.
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

async fn pump(
    timer: delay::Timer,
    mut from: tcp::OwnedReadHalf,
    mut to: tcp::OwnedWriteHalf,
    path: Arc<Path>,
) -> io::Result<()> {
    let (push, mut chunks) = mpsc::unbounded_channel::<Vec<u8>>();
    let reads = Arc::clone(&path);
    let read = async move {
        let mut buffer = vec![0; CHUNK_BYTES];
        loop {
            let len = from.read(&mut buffer).await?;
            let (bytes, push) = (buffer[..len].to_vec(), push.clone());
            timer.schedule(reads.due(), move || {
                let _ = push.send(bytes);
            });
            if len == 0 {
                return Ok(());
            }
        }
    };
    let write = async move {
        while let Some(bytes) = chunks.recv().await {
            while path.is_cut() {
                tokio::time::sleep(CUT_POLL).await;
            }
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
