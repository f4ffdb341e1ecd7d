//! `hallpin load`: sends open-loop load to real nodes and reports the results.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use clap::ValueEnum;
use hallpin_loadgen::load::fake_server::{Behavior, FakeServer};
use hallpin_loadgen::load::mix::{ClassShare, MixSpec, TenantShare};
use hallpin_loadgen::load::report::{self, Report};
use hallpin_loadgen::load::schedule::{Arrivals, RateProfile, RecordedRequest, Spacing};
use hallpin_loadgen::load::{self, LoadSpec, Progress};
use hallpin_simulation::history::Header;
use hallpin_simulation::run_spec::KeysSpec;
use serde::Deserialize;

use crate::failure::{self, Failure};
use crate::terminal::{on_signal, progress_bar};

/// Value of `--arrivals`.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum ArrivalSpacing {
    /// Exponentially distributed gaps (a Poisson process)
    Poisson,
    /// Equal gaps
    Even,
}

/// Command-line options.
#[derive(clap::Args)]
pub struct Options {
    /// Address of a node; may be given more than once. `stand-in` is a built-in target that answers at once
    #[arg(long, value_name = "ADDR", required_unless_present = "read")]
    target: Vec<String>,
    /// Requests a second, over all targets
    #[arg(long, default_value_t = 1000.0, value_name = "N", value_parser = parse_positive)]
    rate: f64,
    /// Time during which requests are sent
    #[arg(long, default_value = "10s", value_name = "TIME", value_parser = humantime::parse_duration)]
    length: Duration,
    /// Distribution of the gaps between requests
    #[arg(long, value_enum, default_value = "poisson")]
    arrivals: ArrivalSpacing,
    /// Bursts of FACTOR times the rate, each LASTS long, at the start of every PERIOD
    #[arg(long, value_name = "PERIOD:LASTS:FACTOR", value_parser = parse_burst, conflicts_with = "curve")]
    bursts: Option<(Duration, Duration, f64)>,
    /// A curve of factors on the rate, linear between its points
    #[arg(long, value_name = "TIME:FACTOR", value_parser = parse_point, value_delimiter = ',')]
    curve: Vec<(Duration, f64)>,
    /// Replays the requests of a trace written by `hallpin emulate --trace` instead of generating them
    #[arg(long, value_name = "FILE", conflicts_with_all = ["bursts", "curve"])]
    trace: Option<PathBuf>,
    /// Connections, over all workers and targets
    #[arg(long, default_value_t = 64, value_name = "N")]
    connections: usize,
    /// Maximum number of requests in flight on one connection
    #[arg(long, default_value_t = 1, value_name = "N")]
    pipeline: usize,
    /// Opens a new connection for each request
    #[arg(long)]
    fresh: bool,
    /// Worker threads; each uses a core while it sends
    #[arg(long, default_value_t = 1, value_name = "N")]
    workers: usize,
    /// Requests that may queue in one worker for a free connection; further ones are counted as unsent
    #[arg(long, default_value_t = 100_000, value_name = "N")]
    backlog: usize,
    /// A class, its share, and for writes the bytes of a value; may be given more than once
    #[arg(long, default_value = "lookup", value_name = "NAME[:SHARE[:BYTES]]", value_parser = parse_class)]
    class: Vec<ClassShare>,
    /// A tenant and its share; may be given more than once
    #[arg(long, value_name = "NAME[:SHARE]", value_parser = parse_tenant)]
    tenant: Vec<TenantShare>,
    /// Number of different keys
    #[arg(long, default_value_t = 5000, value_name = "N")]
    keys: u32,
    /// Exponent of the Zipf distribution of key popularity; 0 makes all keys equally popular
    #[arg(long, default_value_t = 0.0, value_name = "S")]
    zipf: f64,
    /// Share of the keys whose popularity changes each second
    #[arg(long, default_value_t = 0.0, value_name = "SHARE")]
    drift: f64,
    /// Time after which the client of a request gives up, over all its tries
    #[arg(long, default_value = "1s", value_name = "TIME", value_parser = humantime::parse_duration)]
    wait: Duration,
    /// Maximum number of tries for one request; rejected requests are retried after the hint in the answer
    #[arg(long, default_value_t = 1, value_name = "N")]
    tries: u32,
    /// Additional connections that write and read byte by byte
    #[arg(long, default_value_t = 0, value_name = "N")]
    slow: usize,
    /// Additional connections that send nothing
    #[arg(long, default_value_t = 0, value_name = "N")]
    half_open: usize,
    /// Seed of all random draws
    #[arg(long, default_value_t = 1, value_name = "N")]
    seed: u64,
    /// Writes the report as JSON
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Saves the histograms as an HdrHistogram interval log
    #[arg(long, value_name = "FILE")]
    save: Option<PathBuf>,
    /// Sends nothing; merges saved runs and reports them
    #[arg(long, value_name = "FILE", num_args = 1.., conflicts_with_all = ["target", "save", "trace"])]
    read: Vec<PathBuf>,
}

/// Runs the load or reads saved runs; the exit code is 1 if any answer was malformed or belonged to another request.
pub fn run(options: &Options) -> Result<ExitCode, Failure> {
    let (results, length) =
        if options.read.is_empty() { send(options)? } else { report::read_back(&options.read)? };
    let report = Report::new(&results, length);
    println!("{report}");
    if let Some(path) = &options.save {
        report::save(&results, length, path)?;
    }
    if let Some(path) = &options.json {
        let text = serde_json::to_vec_pretty(&report).map_err(|error| Failure::Json(path.clone(), error))?;
        failure::write_file(path, &text)?;
    }
    Ok(ExitCode::from(u8::from(!report.is_good())))
}

fn send(options: &Options) -> Result<(load::results::RunResults, Duration), Failure> {
    let fake_server = if options.target.iter().any(|target| target == "stand-in") {
        let started = FakeServer::start(Behavior::Immediate, None);
        Some(started.map_err(|error| Failure::Usage(format!("stand-in: {error}")))?)
    } else {
        None
    };
    let spec = load_spec(options, fake_server.as_ref().map(|fake_server| fake_server.address))?;
    let progress = Arc::new(Progress::default());
    let (stop_flag, done) = (Arc::clone(&progress), Arc::new(std::sync::atomic::AtomicBool::new(false)));
    // A signal stops the run; the results so far are still reported.
    on_signal(move || stop_flag.stop.store(true, Ordering::Relaxed));
    let (watched, is_done, length) = (Arc::clone(&progress), Arc::clone(&done), options.length);
    let watcher = std::thread::spawn(move || show_progress(&watched, &is_done, length));
    let start = Instant::now();
    let results = load::run(&spec, &progress);
    let elapsed = start.elapsed();
    done.store(true, Ordering::Relaxed);
    // The watcher only draws the progress bar, so a panic in it is ignored.
    let _ = watcher.join();
    if progress.stop.load(Ordering::Relaxed) {
        println!("ended early: the results cover the time until then\n");
    }
    Ok((results?, elapsed.min(options.length)))
}

fn load_spec(options: &Options, fake_server: Option<SocketAddr>) -> Result<LoadSpec, Failure> {
    let address = |text: &String| match fake_server.filter(|_| text == "stand-in") {
        Some(address) => Ok(address),
        None => text.parse().map_err(|_| {
            Failure::Usage(format!("--target {text}: an address and port expected, such as 127.0.0.1:11211"))
        }),
    };
    let profile = match (options.bursts, &options.curve[..]) {
        (Some((period, lasts, factor)), _) => RateProfile::bursts(period, lasts, factor, options.length),
        (None, []) => RateProfile::constant(),
        (None, points) => RateProfile::curve(points)
            .ok_or_else(|| Failure::Usage("--curve: points in order of time expected".into()))?,
    };
    let arrivals = match &options.trace {
        Some(path) => Arrivals::Recorded(Arc::new(read_trace(path)?)),
        None => {
            let spacing = match options.arrivals {
                ArrivalSpacing::Poisson => Spacing::Poisson,
                ArrivalSpacing::Even => Spacing::Even,
            };
            Arrivals::Generated { spacing, rate: options.rate, profile }
        }
    };
    let keys = KeysSpec {
        count: options.keys,
        zipf: options.zipf,
        offset: 0.0,
        drift: options.drift,
        changes: 0.0,
        bytes: 1.0,
        bytes_cv: 0.0,
    };
    Ok(LoadSpec {
        targets: options.target.iter().map(address).collect::<Result<_, _>>()?,
        arrivals,
        length: options.length,
        mix: MixSpec { classes: options.class.clone(), tenants: options.tenant.clone(), keys },
        connections: options.connections,
        pipeline: options.pipeline,
        fresh: options.fresh,
        workers: options.workers,
        backlog: options.backlog,
        wait: options.wait,
        tries: options.tries,
        slow: options.slow,
        half_open: options.half_open,
        seed: options.seed,
    })
}

/// A line of a trace, of which only the arrival of a request matters here.
#[derive(Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
enum TraceLine {
    Asked {
        at: u64,
        class: usize,
        tenant: Option<usize>,
        key: u32,
    },
    #[serde(other)]
    Other,
}

/// Reads the requests of a trace, in order of time.
fn read_trace(path: &Path) -> Result<Vec<RecordedRequest>, Failure> {
    let text = std::fs::read_to_string(path).map_err(|error| Failure::File(path.into(), error))?;
    let mut requests = Vec::new();
    // Traces written before the history format existed have no header line.
    let has_header = text.lines().next().is_some_and(|first| serde_json::from_str::<Header>(first).is_ok());
    for (number, line) in text.lines().enumerate().skip(usize::from(has_header)) {
        let traced = serde_json::from_str(line).map_err(|error| {
            Failure::Usage(format!("{}:{}:{}: {error}", path.display(), number + 1, error.column()))
        })?;
        if let TraceLine::Asked { at, class, tenant, key } = traced {
            requests.push(RecordedRequest { at: Duration::from_micros(at), class, tenant, key });
        }
    }
    if requests.is_empty() {
        return Err(Failure::Usage(format!("{}: lines with \"event\":\"asked\" expected", path.display())));
    }
    requests.sort_by_key(|request| request.at);
    Ok(requests)
}

/// Shows a progress bar until the run is done.
fn show_progress(progress: &Progress, done: &std::sync::atomic::AtomicBool, length: Duration) {
    let bar = progress_bar(length.as_secs().max(1), "{bar:30} {pos}/{len} s  {msg}");
    let start = Instant::now();
    while !done.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(100));
        let value_of = |counter: &std::sync::atomic::AtomicU64| counter.load(Ordering::Relaxed);
        let (asked, completed, other) =
            (value_of(&progress.asked), value_of(&progress.completed), value_of(&progress.other));
        bar.set_position(start.elapsed().as_secs().min(length.as_secs()));
        let in_flight = asked.saturating_sub(completed + other);
        bar.set_message(format!("{asked} asked, {completed} completed, {other} not, {in_flight} in flight"));
    }
    bar.finish_and_clear();
}

fn parse_positive(text: &str) -> Result<f64, String> {
    let valid = text.parse().ok().filter(|n: &f64| n.is_finite() && *n > 0.0);
    valid.ok_or_else(|| "a number above 0 expected".into())
}

fn parse_share(text: &str) -> Result<f64, String> {
    let valid = text.parse().ok().filter(|n: &f64| n.is_finite() && *n >= 0.0);
    valid.ok_or_else(|| format!("{text}: a share of 0 or more expected"))
}

fn parse_time(text: &str) -> Result<Duration, String> {
    humantime::parse_duration(text).map_err(|error| format!("{text}: {error}"))
}

fn parse_point(text: &str) -> Result<(Duration, f64), String> {
    let (at, factor) = text.split_once(':').ok_or("TIME:FACTOR expected, such as 30s:2")?;
    Ok((parse_time(at)?, parse_share(factor)?))
}

fn parse_burst(text: &str) -> Result<(Duration, Duration, f64), String> {
    let parts: Vec<&str> = text.split(':').collect();
    let [period, lasts, factor] = parts[..] else {
        return Err("PERIOD:LASTS:FACTOR expected, such as 10s:1s:5".into());
    };
    let (period, lasts) = (parse_time(period)?, parse_time(lasts)?);
    if period.is_zero() || lasts > period {
        return Err(format!("{text}: a period above 0, and bursts no longer than that expected"));
    }
    Ok((period, lasts, parse_share(factor)?))
}

fn parse_class(text: &str) -> Result<ClassShare, String> {
    let mut parts = text.splitn(3, ':');
    let name = parts.next().unwrap_or_default().to_string();
    let share = parts.next().map_or(Ok(1.0), parse_share)?;
    let byte_count = |text: &str| text.parse().map_err(|_| format!("{text}: a number of bytes expected"));
    Ok(ClassShare { name, share, writes: parts.next().map(byte_count).transpose()? })
}

fn parse_tenant(text: &str) -> Result<TenantShare, String> {
    let (name, share) = text.split_once(':').unwrap_or((text, "1"));
    Ok(TenantShare { name: name.to_string(), share: parse_share(share)? })
}
