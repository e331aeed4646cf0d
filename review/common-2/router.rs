//! Router processes, started as the deploy file says: its command, and settings rendered from `deploy/router.yaml`.

use std::{
    fs,
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

/// The program of the deploy file.
const PROGRAM: &str = "target/release/toucand";

pub struct Router {
    pub name: String,
    pub client: SocketAddr,
    ready: SocketAddr,
    process: Child,
    settings: PathBuf,
    root: PathBuf,
    memory_mb: u32,
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

/// Addresses of a router, chosen before it starts, since seeds name the control addresses of others.
pub struct Addresses {
    client: SocketAddr,
    ready: SocketAddr,
    locate: SocketAddr,
    pub control: SocketAddr,
    metrics: SocketAddr,
    pub gossip: SocketAddr,
    /// Address at which others reach its gossip, if that is not `gossip`.
    pub advertised: Option<SocketAddr>,
}

impl Addresses {
    /// Returns the addresses of some routers. Each has a loopback address of its own, since all use the same gossip port.
    pub fn of(routers: u8) -> std::io::Result<Vec<Self>> {
        let ips: Vec<String> = (1..=routers).map(|number| format!("127.58.{}.{number}", std::process::id() % 250)).collect();
        let mut last = std::io::ErrorKind::AddrInUse.into();
        for _ in 0..20 {
            match Self::with_same_port(&ips) {
                Ok(found) => return Ok(found),
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    fn with_same_port(ips: &[String]) -> std::io::Result<Vec<Self>> {
        let mut port = 0;
        let mut found = Vec::new();
        for ip in ips {
            let gossip = UdpSocket::bind((&**ip, port))?.local_addr()?;
            port = gossip.port();
            let listeners: Result<Vec<TcpListener>, _> = (0..5).map(|_| TcpListener::bind((&**ip, 0))).collect();
            let listeners = listeners?;
            let address = |index: usize| listeners[index].local_addr();
            found.push(Self {
                client: address(0)?,
                ready: address(1)?,
                locate: address(2)?,
                control: address(3)?,
                metrics: address(4)?,
                gossip,
                advertised: None,
            });
        }
        Ok(found)
    }
}

impl Router {
    pub fn start(
        root: &Path,
        name: &str,
        zone: &str,
        own: &Addresses,
        seeds: &[SocketAddr],
        store: SocketAddr,
        memory_mb: u32,
    ) -> Result<Self, String> {
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let advertise = own.advertised.map(|gossip| format!("advertise:\n  control: {}\n  gossip: {gossip}\n", own.control));
        let advertise = advertise.unwrap_or_default();
        let text = format!(
            "interface: platform\nhost: \"{name}\"\ndomain: \"{zone}\"\nlisten:\n  client: {}\n  ready: {}\n  locate: {}\n  \
             control: {}\n  gossip: {}\n  metrics: {}\n{advertise}seeds: [{}]\nstore: {store}\ndescriptors: 4100\nprocessor: 0.25\n\
             bounds:\n  retry_ratio: 0.2\n  retry_window_s: 10\n  retry_slack: 54\n  keep_s: 5\n  grace_s: 8\n\
             log:\n  format: json\n  level: info\n",
            own.client,
            own.ready,
            own.locate,
            own.control,
            own.gossip,
            own.metrics,
            seeds.join(",")
        );
        let settings = std::env::temp_dir().join(format!("review-2-{}-{name}.yaml", std::process::id()));
        fs::write(&settings, text).map_err(|error| error.to_string())?;
        let process = spawn(root, &settings, memory_mb)?;
        Ok(Self {
            name: name.to_owned(),
            client: own.client,
            ready: own.ready,
            process,
            settings,
            root: root.to_owned(),
            memory_mb,
        })
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }

    /// Starts the process again, as the platform does.
    pub fn start_again(&mut self) -> Result<(), String> {
        self.process = spawn(&self.root, &self.settings, self.memory_mb)?;
        Ok(())
    }

    /// Waits until the router says that it is ready.
    pub fn wait_ready(&self) -> Result<(), String> {
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            if self.is_ready() {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(format!("{} is not ready", self.name))
    }

    fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.ready) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let sent = stream.write_all(b"GET /api/ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n");
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer);
        sent.is_ok() && answer.starts_with(b"HTTP/1.1 200")
    }
}

fn spawn(root: &Path, settings: &Path, memory_mb: u32) -> Result<Child, String> {
    Command::new(root.join(PROGRAM))
        .arg("--config")
        .arg(settings)
        .current_dir(root)
        .env_clear()
        .env("TOUCAN_MEMORY_MB", memory_mb.to_string())
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .map_err(|error| format!("{PROGRAM}: {error}"))
}
