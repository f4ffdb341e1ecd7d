//! The platform: configuration, and the node as the deploy file starts it.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::client::Client;

/// A free port of a loopback address that no other run uses at the same time.
pub fn free_address() -> SocketAddr {
    let pid = std::process::id();
    let host = Ipv4Addr::new(127, 1 + (pid % 200) as u8, 1 + (pid / 200 % 250) as u8, 7);
    TcpListener::bind((host, 0)).unwrap().local_addr().unwrap()
}

/// Figures of a configuration that the cases vary.
pub struct Setup {
    pub listen: SocketAddr,
    pub operator: SocketAddr,
    pub discovery: SocketAddr,
    pub memory_mb: usize,
    pub sockets: usize,
    pub balancers: usize,
    pub known: String,
}

impl Setup {
    pub fn new(discovery: SocketAddr, known: String) -> Self {
        Setup {
            listen: free_address(),
            operator: free_address(),
            discovery,
            memory_mb: 96,
            sockets: 1024,
            balancers: 3,
            known,
        }
    }

    /// The settings are those of the wire page's example, which is the site's.
    pub fn config(&self) -> String {
        let settings = format!(
            r#"{{"areas":["derby","leicester","nottingham","coventry"],"balancers":{},"clients":{{"marks-retry":false}},
"family":"cache","family-info":{{"mode":"through","origin-fall-multiple":2.5,"origin-fall-s":3.0,"origin-kind":-1}},
"goal":{{"whole":0.45,"worst-class":0.3,"worst-tenant":0.1,"worst-window":0.15}},
"grades":[{{"effect":"free","group":"all","hard-limit-s":2.0,"importance":3.0,"key-ttl-s":5.0,"late-worth":0.0,"name":"date-lookup","streamed":false,"target-s":1.0}},
{{"effect":"guarded","group":"all","hard-limit-s":2.0,"importance":2.0,"key-ttl-s":1.2,"late-worth":0.0,"name":"missed-bin","streamed":false,"target-s":0.75}}],
"guarantees":{{"ask-every-s":10.0,"cold-from":0.12,"drain-grace-s":1.0,"fall-multiple":3.0,"fall-s":3.0,"grace-to-answer-s":0.02,"ramp-time-s":23.0}},
"limits":{{"cancel":true,"cpu-us-per-request":0.0,"cpu-us-per-s":80000,"dial-timeout-s":0.25,"idle-close-s":10.0,"max-attempts":3,"max-open":20000,"max-retry-after-s":1.0,"multiplex":32,"parallel-tries":true,"peers":true,"probes":true,"retry-after":true}},
"locality":"derby","me":0,"membership-mode":"pushed","over-share-worth":0.05,
"prices":{{"connection":0.05,"cross-zone":0.01,"handshake":0.05,"late-fail":0.05,"membership-mode":0.0,"moves":0.0,"origin":0.0,"peer":0.01,"probe":0.01,"waste":0.05}},
"report":{{"fields":["busy_reqs","cpu_share","served_ps"],"how":"inline"}},"round-s":0.005,"skus":["full-box","half-box"],"stage":0,"stages":["calendar-cache"],
"tenants":[{{"name":"soar-valley","quota-per-s":272.0,"share":0.68}},{{"name":"wreake-borough","quota-per-s":128.0,"share":0.32}}],
"weight-source":"nominal","worth-by":"work"}}"#,
            self.balancers
        );
        format!(
            r#"{{"name":"n0","listen":"{}","operator":"{}","discovery":"{}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"known":{},"settings":{settings}}}"#,
            self.listen, self.operator, self.discovery, self.memory_mb, self.sockets, self.known
        )
    }
}

/// A temporary folder, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Self {
        let path = std::env::temp_dir().join(format!("hr-{}", std::process::id()));
        std::fs::create_dir_all(path.join("t")).unwrap();
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Nodes that have been started and not ended.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the nodes that this process has started.
pub fn end_nodes() {
    for id in RUNNING.lock().unwrap().drain(..) {
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -KILL {id}")]).status();
    }
}

/// A node, killed on drop.
pub struct Node {
    child: Child,
    pub address: SocketAddr,
}

impl Node {
    /// Starts what `run` in the deploy file names, from the repository's root.
    pub fn start(root: &Path, folder: &Folder, name: &str, setup: &Setup) -> Result<Self, String> {
        let config = folder.0.join(format!("{name}.json"));
        std::fs::write(&config, setup.config()).map_err(|error| error.to_string())?;
        let deploy =
            std::fs::read_to_string(root.join("deploy/balancer.toml")).map_err(|error| error.to_string())?;
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'))
            .ok_or("no run in the deploy file")?;
        let log = File::create(folder.0.join(format!("{name}.log"))).map_err(|error| error.to_string())?;
        let child = Command::new("/bin/sh")
            .args(["-c", run])
            .current_dir(root)
            .env("RELAY_NAME", "n0")
            .env("RELAY_LISTEN", setup.listen.to_string())
            .env("RELAY_DISCOVERY", setup.discovery.to_string())
            .env("RELAY_OPERATOR", setup.operator.to_string())
            .env("RELAY_CONFIG", &config)
            .env("TMPDIR", folder.0.join("t"))
            .env("HALLPIN_LOG", std::env::var("HALLPIN_LOG").unwrap_or("info".into()))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|error| error.to_string())?;
        RUNNING.lock().unwrap().push(child.id());
        Ok(Node { child, address: setup.listen })
    }

    /// Waits until `mn` is answered with `MN`.
    pub fn wait_ready(&self, limit: Duration) -> Result<(), String> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let ready = Client::connect(self.address, Duration::from_millis(500))
                .and_then(|mut client| client.is_ready());
            if ready.unwrap_or(false) {
                return Ok(());
            }
            sleep(Duration::from_millis(20));
        }
        Err("the node was not ready in time".into())
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, name: &str) {
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {}", self.child.id())]).status();
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().ok().flatten().is_some()
    }

    /// A field of the process's status, in kB.
    pub fn memory_kb(&self, field: &str) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let value = status
            .lines()
            .find_map(|line| line.strip_prefix(field)?.trim().strip_suffix(" kB")?.trim().parse().ok());
        value.unwrap_or(0)
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        RUNNING.lock().unwrap().retain(|id| *id != self.child.id());
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
