//! One real node: clients on one side, cache servers on the other, the balancer between them.

#![forbid(unsafe_code)]

mod answer;
mod budget;
mod clock;
mod config;
mod discovery;
mod driver;
mod figures;
mod frontend;
mod lifecycle;
mod message;
mod operator;
mod roster;
mod takeover;
mod upstream;

use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{mpsc, watch};
use tokio::task::LocalSet;
use tokio::time::{interval, sleep, timeout};

use budget::Budget;
use clock::Clock;
use config::{seconds, wrong, Config, Wrong};
use discovery::Discovery;
use driver::{Around, Driver};
use figures::Figures;
use frontend::Frontend;
use lifecycle::{Lifecycle, State};
use operator::Operator;
use roster::Roster;
use takeover::{Offer, Predecessor, Successor};
use upstream::{Bounds, Upstream};

/// After SIGTERM connections may still come for 0.4 s.
const STILL_COMING: Duration = Duration::from_millis(500);
/// The kill comes no sooner after SIGTERM than the longest deadline, or this if that is longer, and 0.7 s more.
const LEAST_NOTICE: Duration = Duration::from_secs(3);
/// The node is gone a little ahead of the kill.
const LEAVE: Duration = Duration::from_millis(600);
/// For how long connections are kept that are sent away, where there is time enough to answer their last requests.
const PART_AFTER: Duration = Duration::from_millis(1500);
/// How often kept connections are looked at.
const SWEEP: Duration = Duration::from_secs(1);

/// Reads the configuration anew at each SIGHUP, for where discovery is now; all else needs a new start.
async fn reload(mut hangup: Signal, discovery: watch::Sender<SocketAddr>) {
    while hangup.recv().await.is_some() {
        match Config::read().and_then(|config| config.settings().map(|_| config.discovery)) {
            Ok(address) => {
                discovery.send_if_modified(|at| std::mem::replace(at, address) != address);
            }
            Err(Wrong(what)) => eprintln!("hallpin-node: {what}; the old configuration stands"),
        }
    }
}

/// The socket of a process that serves there already, or one of this process's own.
async fn listen(address: SocketAddr) -> Result<(TcpListener, Option<Predecessor>), Wrong> {
    let path = takeover::name(address).filter(|path| path.symlink_metadata().is_ok());
    if let Some(path) = path {
        match takeover::claim(&path, address).await {
            Ok((listener, predecessor)) => return Ok((listener, Some(predecessor))),
            Err(error) => eprintln!("takeover: {}: {error}; listening anew", path.display()),
        }
    }
    let listener = takeover::bind(address).map_err(wrong(&format!("listen {address}")))?;
    Ok((listener, None))
}

/// Leaves accepting to the predecessor until this process can serve, and shares the limits with it while it runs.
async fn succeed(mut predecessor: Predecessor, lifecycle: &Lifecycle, budget: Rc<Budget>) {
    budget.join();
    let mut phases = lifecycle.follow();
    tokio::select! {
        // The lifecycle outlives this.
        _ = phases.wait_for(|phase| phase.state == State::Ready) => predecessor.relieve().await,
        () = predecessor.gone() => {}
    }
    tokio::task::spawn_local(async move {
        predecessor.gone().await;
        eprintln!("takeover: the predecessor is gone");
        budget.leave();
    });
}

/// Accepts, but for the time in which a successor does.
async fn accept(frontend: &Rc<Frontend>, listener: &TcpListener, mut successor: watch::Receiver<Successor>) {
    loop {
        let serving = *successor.borrow_and_update() == Successor::Serving;
        tokio::select! {
            () = frontend.clone().accept(listener), if !serving => {}
            changed = successor.changed() => if changed.is_err() {
                // Nothing is offered, so nobody succeeds.
                return frontend.clone().accept(listener).await;
            }
        }
    }
}

async fn run() -> Result<(), Wrong> {
    let config = Config::read()?;
    let (seed, settings, operator_at) = (config.seed()?, config.settings()?, config.operator()?);
    let clock = Clock::start();
    let mut terminate = signal(SignalKind::terminate()).map_err(wrong("SIGTERM"))?;
    let hangup = signal(SignalKind::hangup()).map_err(wrong("SIGHUP"))?;
    let longest = settings.classes.iter().map(|class| class.deadline).fold(0.0, f64::max);
    let longest = seconds("hard-limit-s", longest)?;
    let leave_after = longest.max(LEAST_NOTICE) + LEAVE;

    let lifecycle = Lifecycle::new();
    let figures = Figures::new(settings.classes.iter().map(|class| class.name.as_str()));
    let budget = Budget::new(&config.limits);
    let bounds = Bounds {
        dial: seconds("limits.dial-timeout-s", settings.limits.connect_timeout)?,
        idle: config.idle_close()?,
        grace: seconds("guarantees.drain-grace-s", settings.guarantees.drain_grace)?,
    };
    let upstream = Rc::new(Upstream::new(bounds, budget.clone(), figures.clone()));
    let (messages, inbox) = mpsc::unbounded_channel();
    let (calls, called) = mpsc::channel(1);
    let around = Around {
        clock,
        upstream: upstream.clone(),
        messages: messages.clone(),
        calls,
        lifecycle: lifecycle.clone(),
        figures: figures.clone(),
    };
    let mut driver = Driver::new(&settings, seed, around).map_err(wrong("settings"))?;
    if let Some(known) = &config.known {
        driver.known(Roster::from_json(known.get().as_bytes(), &clock).map_err(wrong("known"))?);
    }
    let frontend = Frontend::new(
        messages.clone(),
        upstream.clone(),
        lifecycle.clone(),
        PART_AFTER.min(leave_after - longest),
        budget.clone(),
    );
    let (listener, predecessor) = listen(config.listen).await?;
    let listener = Rc::new(listener);
    let address = listener.local_addr().map_err(wrong("listen"))?;
    eprintln!("hallpin-node: listening on {address}");
    if let Some(address) = operator_at {
        let listener = TcpListener::bind(address).await.map_err(wrong(&format!("operator {address}")))?;
        eprintln!("hallpin-node: operators call at {}", listener.local_addr().map_err(wrong("operator"))?);
        let operator = Operator::new(lifecycle.clone(), figures, messages.clone());
        tokio::task::spawn_local(operator.accept(listener));
    }

    let (moved, discovery_at) = watch::channel(config.discovery);
    tokio::task::spawn_local(reload(hangup, moved));
    let discovery = Discovery::new(discovery_at, settings.membership, clock, messages);
    tokio::task::spawn_local(discovery.run(called));
    let mut driver = tokio::task::spawn_local(driver.run(inbox));
    let swept = frontend.clone();
    tokio::task::spawn_local(async move {
        let mut ticks = interval(SWEEP);
        loop {
            ticks.tick().await;
            upstream.sweep();
            swept.shed();
        }
    });
    let (successor, succeeded) = watch::channel(Successor::None);
    let serve = async {
        if let Some(predecessor) = predecessor {
            succeed(predecessor, &lifecycle, budget.clone()).await;
        }
        if let Some(path) = takeover::name(address) {
            let offer = Offer { path, socket: Rc::downgrade(&listener), budget, successor };
            tokio::task::spawn_local(offer.run());
        }
        accept(&frontend, &listener, succeeded.clone()).await;
    };
    tokio::select! {
        () = serve => {}
        // Without it nobody is answered: better to end and be started again.
        _ = &mut driver => return Err(Wrong("driver: ended".into())),
        _ = terminate.recv() => {}
    }
    eprintln!("hallpin-node: stopping");
    lifecycle.stop(*succeeded.borrow() == Successor::Serving);
    let stop = async {
        let _ = timeout(STILL_COMING, accept(&frontend, &listener, succeeded)).await;
        drop(listener);
        frontend.finish().await;
    };
    tokio::select! {
        () = stop => {}
        // Slow clients may take longer than the platform waits, but what is cut off here would be lost for sure.
        () = sleep(leave_after + frontend::STALLED) => eprintln!("hallpin-node: left with clients still connected"),
        _ = driver => return Err(Wrong("driver: ended".into())),
    }
    Ok(())
}

/// Runs a node as the environment tells it, until it is told to stop; what is wrong goes to standard error.
pub fn main() -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("hallpin-node: runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    match LocalSet::new().block_on(&runtime, run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(Wrong(what)) => {
            eprintln!("hallpin-node: {what}");
            ExitCode::FAILURE
        }
    }
}
