//! What stands in for the platform: the record of a run, the configuration, signals, and the node's process.

use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// The record of a run: one line an event, with the seconds since the start.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn create(path: &Path) -> Self {
        let file =
            File::create(path).unwrap_or_else(|error| not_run(&format!("{}: {error}", path.display())));
        Record(Arc::new((Instant::now(), Mutex::new(file))))
    }

    pub fn line(&self, text: &str) {
        let mut file = self.0 .1.lock().unwrap();
        let _ = writeln!(file, "{:8.3} {text}", self.seconds());
    }

    pub fn seconds(&self) -> f64 {
        self.0 .0.elapsed().as_secs_f64()
    }
}

/// Processes that this one has started and not yet seen the end of.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills the processes that are still there, and exits.
pub fn end(code: i32) -> ! {
    for pid in STARTED.lock().unwrap_or_else(std::sync::PoisonError::into_inner).drain(..) {
        let _ =
            Command::new("/bin/sh").arg("-c").arg(format!("kill -KILL {pid}")).stderr(Stdio::null()).status();
    }
    std::process::exit(code)
}

/// Ends the case as one that could not run.
pub fn not_run(why: &str) -> ! {
    eprintln!("not run: {why}");
    end(NOT_RUN)
}

/// A free address on the loopback interface.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).unwrap_or_else(|e| not_run(&e.to_string()))
}

/// The value of a key in the deploy file, which has one line for each.
pub fn deploy_command(name: &str) -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml")
        .unwrap_or_else(|e| not_run(&format!("deploy file: {e}")));
    text.lines()
        .find_map(|line| {
            line.strip_prefix(name)?
                .trim_start()
                .strip_prefix('=')?
                .trim()
                .strip_prefix('"')?
                .strip_suffix('"')
        })
        .map(str::to_owned)
        .unwrap_or_else(|| not_run(&format!("deploy file: no {name}")))
}

/// Settings of the site that a case may vary.
#[derive(Clone, Copy)]
pub struct Site {
    pub drain_grace_s: f64,
    /// How many nodes there are, and which of them this one is.
    pub nodes: u32,
    pub me: u32,
    /// Whether the list is `pushed` or has to be asked for (`on_request`).
    pub membership: &'static str,
}

/// The site's figures are those of midlands-calendar.
pub const MIDLANDS: Site = Site { drain_grace_s: 1.0, nodes: 1, me: 0, membership: "pushed" };

/// The settings as the platform writes them: the form of the wire page, with the classes and councils of the site.
pub fn settings(site: Site) -> String {
    let Site { drain_grace_s, nodes, me, membership } = site;
    format!(
        r#"{{"areas":["derby"],"balancers":{nodes},"clients":{{"marks-retry":false}},"family":"cache",
"family-info":{{"mode":"through","notes":"1 hit, 2 miss","origin-fall-multiple":2.5,"origin-fall-s":3.0,"origin-kind":-1}},
"goal":{{"whole":0.45,"worst-class":0.3,"worst-tenant":0.1,"worst-window":0.15}},
"grades":[{{"effect":"free","group":"all","hard-limit-s":2.0,"importance":3.0,"key-ttl-s":5.0,"late-worth":0.0,"name":"date-lookup","streamed":false,"target-s":1.0}},
{{"effect":"guarded","group":"all","hard-limit-s":2.0,"importance":2.0,"key-ttl-s":1.2,"late-worth":0.0,"name":"missed-bin","streamed":false,"target-s":0.75}}],
"guarantees":{{"ask-every-s":10.0,"cold-from":0.12,"drain-grace-s":{drain_grace_s},"fall-multiple":3.0,"fall-s":3.0,"grace-to-answer-s":0.02,"ramp-time-s":23.0}},
"limits":{{"cancel":true,"cpu-us-per-request":0.0,"cpu-us-per-s":80000,"dial-timeout-s":0.25,"idle-close-s":10.0,"max-attempts":3,"max-open":20000,"max-retry-after-s":1.0,"multiplex":32,"parallel-tries":true,"peers":false,"probes":true,"retry-after":true}},
"locality":"derby","me":{me},"membership-mode":"{membership}","over-share-worth":0.05,
"prices":{{"connection":0.05,"cross-zone":0.01,"handshake":0.05,"late-fail":0.05,"probe":0.01,"waste":0.05}},
"report":{{"fields":["busy_reqs","cpu_share","served_ps"],"how":"inline"}},"round-s":0.005,"skus":["full-box"],"stage":0,
"stages":["calendar-cache"],"tenants":[{{"name":"soar-valley","quota-per-s":272.0,"share":0.68}},{{"name":"wreake-borough","quota-per-s":128.0,"share":0.32}}],
"weight-source":"nominal","worth-by":"work"}}"#
    )
}

/// One node as the platform starts it: the deploy file's `run`, from the root, with its own `$TMPDIR`. The process is
/// killed when this is dropped.
pub struct Node {
    pub listen: SocketAddr,
    operator: SocketAddr,
    name: &'static str,
    child: Child,
    /// The configuration, the log and `$TMPDIR`, which a version that is started beside this one shares.
    folder: PathBuf,
    owns_folder: bool,
    record: Record,
    discovery: SocketAddr,
    site: Site,
}

impl Node {
    /// Starts a node. `known` is a list in discovery's form.
    pub fn start(record: &Record, site: Site, discovery: SocketAddr, known: &str) -> Self {
        let listen = free_address();
        let unique = format!("hr-{}-{}", std::process::id(), listen.port());
        let folder = std::env::temp_dir().join(unique);
        std::fs::create_dir_all(folder.join("tmp")).unwrap_or_else(|error| not_run(&error.to_string()));
        let name = if site.me == 0 { "node" } else { "other node" };
        Self::spawn(record, site, discovery, known, name, listen, folder, true)
    }

    /// Starts a new version beside this one: the same addresses but for the operators', the same `$TMPDIR`.
    pub fn start_beside(&self, known: &str) -> Self {
        let folder = self.folder.clone();
        Self::spawn(&self.record, self.site, self.discovery, known, "new node", self.listen, folder, false)
    }

    #[allow(clippy::too_many_arguments)]
    fn spawn(
        record: &Record,
        site: Site,
        discovery: SocketAddr,
        known: &str,
        name: &'static str,
        listen: SocketAddr,
        folder: PathBuf,
        owns_folder: bool,
    ) -> Self {
        let operator = free_address();
        let config = folder.join(format!("{}.json", name.replace(' ', "-")));
        let text = format!(
            r#"{{"name":"n{}","listen":"{listen}","operator":"{operator}","discovery":"{discovery}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},"settings":{}}}"#,
            site.me,
            settings(site)
        );
        std::fs::write(&config, text).unwrap_or_else(|error| not_run(&error.to_string()));
        let log =
            File::create(config.with_extension("log")).unwrap_or_else(|error| not_run(&error.to_string()));
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(deploy_command("run"))
            .env("RELAY_NAME", format!("n{}", site.me))
            .env("RELAY_LISTEN", listen.to_string())
            .env("RELAY_OPERATOR", operator.to_string())
            .env("RELAY_DISCOVERY", discovery.to_string())
            .env("RELAY_CONFIG", &config)
            .env("TMPDIR", folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| not_run(&format!("run: {error}")));
        STARTED.lock().unwrap().push(child.id());
        record.line(&format!("platform: {name} started, pid {}, clients at {listen}", child.id()));
        let record = record.clone();
        Node { listen, operator, name, child, folder, owns_folder, record, discovery, site }
    }

    /// Sends a signal by name, such as TERM.
    pub fn signal(&self, name: &str) {
        self.record.line(&format!("platform: SIG{name} to the {}", self.name));
        let sent =
            Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {}", self.child.id())).status();
        if !sent.is_ok_and(|status| status.success()) {
            self.record.line("platform: the signal could not be sent, the process has ended");
        }
    }

    /// Whether the process has ended, and how.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok().flatten()?;
        STARTED.lock().unwrap().retain(|pid| *pid != self.child.id());
        Some(status.to_string())
    }

    /// Waits until `mn` is answered with `MN`.
    pub fn wait_until_ready(&mut self, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if crate::client::is_ready(self.listen) {
                self.record.line("front: the node says MN");
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Waits until the operators' call `ready` is answered with yes.
    pub fn wait_until_it_says_yes(&self, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if crate::client::call(self.operator, "ready").starts_with("ok") {
                self.record.line(&format!("platform: the {} says yes", self.name));
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join(format!("{}.log", self.name.replace(' ', "-"))))
            .unwrap_or_default()
    }
}

/// Starts a new version beside the node, and once it says yes tells the node to end. Returns the new version and the time
/// of a kill, or `None` if the new version does not say yes in 6 s.
pub fn upgrade(record: &Record, node: &mut Node, known: &str) -> Option<(Node, Option<f64>)> {
    let new = node.start_beside(known);
    new.wait_until_it_says_yes(Duration::from_secs(6)).then(|| (new, terminate(record, node)))
}

/// SIGTERM, and SIGKILL 2.7 s later (the longest deadline, 2 s, and 0.7 s) if the node has not ended by then. Returns the
/// time of a kill.
pub fn terminate(record: &Record, node: &mut Node) -> Option<f64> {
    node.signal("TERM");
    let terminated_at = Instant::now();
    while terminated_at.elapsed() < Duration::from_millis(2700) {
        if let Some(exit) = node.ended() {
            let after = terminated_at.elapsed().as_secs_f64();
            record.line(&format!("platform: the node ended by itself {after:.3} s after SIGTERM: {exit}"));
            return None;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    let killed_at = record.seconds();
    node.signal("KILL");
    Some(killed_at)
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED.lock().unwrap().retain(|pid| *pid != self.child.id());
        for line in self.log().lines().take(40) {
            self.record.line(&format!("{}'s log: {line}", self.name));
        }
        if self.owns_folder {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
