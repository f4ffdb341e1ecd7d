//! One thread of the generator: hands each request whose time has come to a connection that is free for it.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rustix::time::{clock_gettime, ClockId};
use tokio::sync::Notify;
use tokio::task::{yield_now, LocalSet};
use tokio::time::sleep;

use super::ledger::{Ledger, Outcome};
use super::mix::{Mix, Wanted};
use super::schedule::Schedule;
use super::{connection, crowd, LoadError, LoadSpec, Progress};

/// An answer that comes this much after its client stopped waiting has not come.
pub(super) const GRACE: Duration = Duration::from_millis(250);
/// The runtime's timers are coarser than this; what is nearer is waited for by looking again.
const COARSE: Duration = Duration::from_millis(2);
/// How often things that are not due are looked at.
const LOOK: Duration = Duration::from_millis(10);
/// A refused request without advice comes again after this, and twice as long each further time.
const BACK_OFF: Duration = Duration::from_millis(20);

/// A request on its way through the generator. Times count from the start.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pending {
    /// An id of its own, over all its tries.
    pub request: u64,
    pub meant: Duration,
    pub wanted: Wanted,
    /// When its client stops waiting.
    pub until: Duration,
    /// Tries that it has had.
    pub tries: u32,
}

/// What one thread's tasks share.
pub(super) struct Shared {
    pub spec: LoadSpec,
    start: Instant,
    number: usize,
    queue: RefCell<VecDeque<Pending>>,
    /// Those that come again, by when, and by their own id.
    later: RefCell<BTreeMap<(Duration, u64), Pending>>,
    ids: Cell<u64>,
    /// Connections with room, the one that last had work at the end.
    free: RefCell<Vec<usize>>,
    /// Which are among them.
    is_free: Vec<Cell<bool>>,
    wakes: Vec<Notify>,
    pub ledger: RefCell<Ledger>,
    /// Requests that have not ended.
    open: Cell<u64>,
    over: Cell<bool>,
    pub progress: Arc<Progress>,
}

impl Shared {
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn instant(&self, at: Duration) -> tokio::time::Instant {
        (self.start + at).into()
    }

    /// An id that no other thread gives, and this one not again.
    pub fn id(&self) -> u64 {
        self.ids.set(self.ids.get() + 1);
        (self.number as u64) << 48 | self.ids.get()
    }

    /// Nothing more is to be sent, and nothing is waited for.
    pub fn is_over(&self) -> bool {
        self.over.get()
    }

    /// The next request to send whose client still waits.
    pub fn next(&self) -> Option<Pending> {
        self.sweep(self.now());
        self.queue.borrow_mut().pop_front()
    }

    /// There is something to send.
    pub fn has_work(&self) -> bool {
        !self.queue.borrow().is_empty()
    }

    /// A connection has room.
    pub fn free(&self, connection: usize) {
        if !self.is_free[connection].replace(true) {
            self.free.borrow_mut().push(connection);
        }
    }

    /// Waits until a connection is called for, or everything is over.
    pub async fn called(&self, connection: usize) {
        self.wakes[connection].notified().await;
    }

    fn call(&self) {
        let many = self.queue.borrow().len();
        let mut free = self.free.borrow_mut();
        for _ in 0..many.min(free.len()) {
            if let Some(connection) = free.pop() {
                self.is_free[connection].set(false);
                self.wakes[connection].notify_one();
            }
        }
    }

    /// A request has ended for good.
    pub fn end(&self, pending: Pending, outcome: Outcome) {
        self.ledger.borrow_mut().ended(outcome, pending.meant, self.now());
        self.open.set(self.open.get() - 1);
        let counter =
            if outcome == Outcome::Completed { &self.progress.completed } else { &self.progress.other };
        Progress::count(counter);
    }

    /// A try ended in a way that another one may mend: it comes again after the advice, or backs off, if its client
    /// still waits then. A write comes again only where it surely did not run.
    pub fn again(&self, pending: Pending, outcome: Outcome, advice: Option<Duration>) {
        let writes = self.spec.mix.classes[pending.wanted.class].writes.is_some();
        let harmless = outcome == Outcome::Refused || !writes;
        let back_off = BACK_OFF * 2u32.saturating_pow(pending.tries.saturating_sub(1).min(16));
        let at = self.now() + advice.unwrap_or(back_off);
        if !harmless || pending.tries >= self.spec.tries || at >= pending.until {
            return self.end(pending, outcome);
        }
        self.later.borrow_mut().insert((at, pending.request), pending);
    }

    /// Puts what is due in the queue; says when the next one is.
    fn due_again(&self, now: Duration) -> Option<Duration> {
        let mut later = self.later.borrow_mut();
        while let Some(first) = later.first_entry().filter(|first| first.key().0 <= now) {
            self.queue.borrow_mut().push_back(first.remove());
        }
        later.keys().next().map(|(at, _)| *at)
    }

    /// Ends what nobody waits for any more though no connection was free for it.
    fn sweep(&self, now: Duration) {
        let mut queue = self.queue.borrow_mut();
        while let Some(pending) = queue.pop_front_if(|pending| pending.until <= now) {
            self.end(pending, Outcome::Unsent);
        }
    }
}

/// Sends one thread's part until it is over.
pub(super) fn run(
    spec: &LoadSpec,
    number: usize,
    mix: Mix,
    start: Instant,
    progress: Arc<Progress>,
) -> Result<Ledger, LoadError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let part = |all: usize| all / spec.workers + usize::from(number < all % spec.workers);
    let connections = part(spec.connections);
    let shared = Rc::new(Shared {
        spec: spec.clone(),
        start,
        number,
        queue: RefCell::default(),
        later: RefCell::default(),
        ids: Cell::new(0),
        free: RefCell::default(),
        is_free: vec![Cell::new(false); connections],
        wakes: (0..connections).map(|_| Notify::new()).collect(),
        ledger: RefCell::default(),
        open: Cell::new(0),
        over: Cell::new(false),
        progress,
    });
    let target = |n: usize| spec.targets[(number + n * spec.workers) % spec.targets.len()];
    let local = LocalSet::new();
    local.block_on(&runtime, async {
        let mut tasks = tokio::task::JoinSet::new();
        for connection in 0..connections {
            tasks.spawn_local(connection::run(shared.clone(), connection, target(connection)));
        }
        for n in 0..part(spec.slow) {
            tokio::task::spawn_local(crowd::slow(shared.clone(), target(n), n));
        }
        for n in 0..part(spec.half_open) {
            tokio::task::spawn_local(crowd::half_open(shared.clone(), target(n)));
        }
        dispatch(&shared, mix).await;
        // What is out is ended by those who hold it.
        while tasks.join_next().await.is_some() {}
    });
    drop(local);
    let mut ledger = shared.ledger.take();
    let cpu = clock_gettime(ClockId::ThreadCPUTime);
    ledger.cpu = Duration::new(cpu.tv_sec.unsigned_abs(), u32::try_from(cpu.tv_nsec).unwrap_or(0));
    ledger.ran = shared.now();
    Ok(ledger)
}

/// Puts each request in the queue when its time has come, and calls connections that are free.
async fn dispatch(shared: &Shared, mut mix: Mix) {
    let spec = &shared.spec;
    sleep(shared.start.saturating_duration_since(Instant::now())).await;
    let mut schedule =
        Schedule::new(spec.arrivals.clone(), shared.number, spec.workers, spec.length, spec.seed);
    let (mut next, mut drifted) = (schedule.next(), Duration::from_secs(1));
    loop {
        let now = shared.now();
        if shared.progress.stopped() {
            next = None;
        }
        while let Some(due) = next.filter(|due| due.at <= now) {
            shared.ledger.borrow_mut().asked(due.at, now - due.at);
            Progress::count(&shared.progress.asked);
            shared.open.set(shared.open.get() + 1);
            let wanted = match due.recorded {
                Some(r) => Wanted {
                    class: r.class % spec.mix.classes.len(),
                    tenant: r
                        .tenant
                        .filter(|_| !spec.mix.tenants.is_empty())
                        .map(|t| t % spec.mix.tenants.len()),
                    key: r.key,
                },
                None => mix.draw(),
            };
            let request = shared.id();
            let pending = Pending { request, meant: due.at, wanted, until: due.at + spec.wait, tries: 0 };
            if shared.queue.borrow().len() < spec.backlog {
                shared.queue.borrow_mut().push_back(pending);
            } else {
                shared.end(pending, Outcome::Unsent);
            }
            next = schedule.next();
        }
        while drifted <= now {
            mix.drift();
            drifted += Duration::from_secs(1);
        }
        let again = shared.due_again(now);
        shared.sweep(now);
        shared.call();
        if next.is_none() && (shared.open.get() == 0 || shared.progress.stopped()) {
            shared.over.set(true);
            let (left, later) = (shared.queue.take(), shared.later.take());
            left.into_iter()
                .chain(later.into_values())
                .for_each(|pending| shared.end(pending, Outcome::Unsent));
            shared.wakes.iter().for_each(Notify::notify_one);
            return;
        }
        let wake = [next.map(|due| due.at), again].into_iter().flatten().min();
        let left = wake.map_or(LOOK, |at| at.saturating_sub(now).min(LOOK));
        if left > COARSE {
            sleep(left - COARSE).await;
        } else {
            yield_now().await;
        }
    }
}
