//! Classifies errors of system calls: whether to retry at once, to free local resources first, to blame the peer, or to
//! give up.
//!
//! The same errno means different things for `accept(2)` and `connect(2)`, so each [`SystemCall`] has its own table.
//! Every failure is counted, and at most one line a second is logged for each [`Operation`].

#[cfg(test)]
mod tests;

use std::borrow::Cow;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use rustix::io::Errno;
use tokio::time::Instant;
use tracing::{error, warn};

use crate::metrics::{append_line, escape_label};

/// Delay before accepting again after a failure that would recur at once.
pub const ACCEPT_PAUSE: Duration = Duration::from_millis(5);
/// Failures of accepting in a row that are retried at once. Then follows a pause, as a call that always fails must not
/// use up the node's single core.
const MAX_IMMEDIATE_RETRIES: u32 = 16;
/// Shortest time between two log lines of one operation.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The system call that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SystemCall {
    /// `socket(2)`, `bind(2)` and `listen(2)`, up to a listening socket.
    Listen,
    /// `accept(2)`, and registering the accepted socket with the runtime.
    Accept,
    /// `socket(2)` and `connect(2)`, up to a connection to a peer.
    Connect,
    /// `send(2)` and `recv(2)`, with their variants, on an open socket.
    Transfer,
}

/// Meaning of a system call's error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorClass {
    /// The call may succeed if it is retried at once.
    RetryNow,
    /// This machine is temporarily short of descriptors, memory, ports or a route. The error says nothing about the
    /// peer.
    LocalShortage,
    /// The peer, or the network path to it, is at fault.
    PeerFault,
    /// The call cannot succeed on this socket or with these arguments.
    Fatal,
}

/// Classifies an error of this call. An error without an errno does not come from the system.
pub fn classify(call: SystemCall, error: &io::Error) -> ErrorClass {
    let errno = Errno::from_io_error(error);
    match call {
        SystemCall::Listen => errno.map_or(ErrorClass::Fatal, classify_listen),
        SystemCall::Accept => errno.map_or(ErrorClass::Fatal, classify_accept),
        SystemCall::Connect => errno.map_or(ErrorClass::PeerFault, classify_connect),
        SystemCall::Transfer => errno.map_or(ErrorClass::PeerFault, classify_transfer),
    }
}

/// Whether descriptors or memory are short, or the limit of `epoll` watches is reached (ENOSPC).
fn is_out_of_resources(errno: Errno) -> bool {
    matches!(errno, Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM | Errno::NOSPC)
}

/// By socket(2), bind(2) and listen(2). An address that another process holds (EADDRINUSE) becomes free when that
/// process ends; an address that this machine does not have (EADDRNOTAVAIL) is a configuration error.
fn classify_listen(errno: Errno) -> ErrorClass {
    match errno {
        Errno::INTR => ErrorClass::RetryNow,
        Errno::ADDRINUSE => ErrorClass::LocalShortage,
        errno if is_out_of_resources(errno) => ErrorClass::LocalShortage,
        _ => ErrorClass::Fatal,
    }
}

/// By accept(2). Besides its own errors Linux returns any error that is pending on the new connection
/// (ECONNABORTED, ENETDOWN, EPROTO, ENOPROTOOPT, EHOSTDOWN, ENONET, EHOSTUNREACH, EOPNOTSUPP, ENETUNREACH, ETIMEDOUT
/// and others), or that a firewall forbids it (EPERM). That connection is lost; the next one may be good.
fn classify_accept(errno: Errno) -> ErrorClass {
    match errno {
        Errno::BADF | Errno::INVAL | Errno::NOTSOCK | Errno::FAULT => ErrorClass::Fatal,
        errno if is_out_of_resources(errno) => ErrorClass::LocalShortage,
        _ => ErrorClass::RetryNow,
    }
}

/// By socket(2) and connect(2). ENETUNREACH and ENETDOWN result from this machine's own routes and interfaces, and come
/// at once, as EADDRNOTAVAIL, EADDRINUSE and EAGAIN do from its ports and queues. EHOSTUNREACH means that nobody
/// answers at the peer's address.
fn classify_connect(errno: Errno) -> ErrorClass {
    match errno {
        Errno::INTR => ErrorClass::RetryNow,
        Errno::ADDRNOTAVAIL | Errno::ADDRINUSE | Errno::AGAIN | Errno::BUSY => ErrorClass::LocalShortage,
        Errno::NETUNREACH | Errno::NETDOWN => ErrorClass::LocalShortage,
        Errno::BADF | Errno::INVAL | Errno::NOTSOCK | Errno::FAULT => ErrorClass::Fatal,
        Errno::AFNOSUPPORT | Errno::ACCESS | Errno::PERM => ErrorClass::Fatal,
        errno if is_out_of_resources(errno) => ErrorClass::LocalShortage,
        _ => ErrorClass::PeerFault,
    }
}

/// By send(2), recv(2), ip(7) and unix(7).
fn classify_transfer(errno: Errno) -> ErrorClass {
    match errno {
        Errno::INTR => ErrorClass::RetryNow,
        Errno::NETUNREACH | Errno::NETDOWN | Errno::TOOMANYREFS => ErrorClass::LocalShortage,
        Errno::BADF | Errno::INVAL | Errno::NOTSOCK | Errno::FAULT => ErrorClass::Fatal,
        errno if is_out_of_resources(errno) => ErrorClass::LocalShortage,
        _ => ErrorClass::PeerFault,
    }
}

/// Names of the errnos that the tables distinguish, and of other common ones.
const ERRNO_NAMES: [(Errno, &str); 37] = [
    (Errno::ACCESS, "EACCES"),
    (Errno::ADDRINUSE, "EADDRINUSE"),
    (Errno::ADDRNOTAVAIL, "EADDRNOTAVAIL"),
    (Errno::AFNOSUPPORT, "EAFNOSUPPORT"),
    (Errno::AGAIN, "EAGAIN"),
    (Errno::BADF, "EBADF"),
    (Errno::BUSY, "EBUSY"),
    (Errno::CONNABORTED, "ECONNABORTED"),
    (Errno::CONNREFUSED, "ECONNREFUSED"),
    (Errno::CONNRESET, "ECONNRESET"),
    (Errno::FAULT, "EFAULT"),
    (Errno::HOSTDOWN, "EHOSTDOWN"),
    (Errno::HOSTUNREACH, "EHOSTUNREACH"),
    (Errno::INTR, "EINTR"),
    (Errno::INVAL, "EINVAL"),
    (Errno::IO, "EIO"),
    (Errno::MFILE, "EMFILE"),
    (Errno::MSGSIZE, "EMSGSIZE"),
    (Errno::NETDOWN, "ENETDOWN"),
    (Errno::NETUNREACH, "ENETUNREACH"),
    (Errno::NFILE, "ENFILE"),
    (Errno::NOBUFS, "ENOBUFS"),
    (Errno::NOENT, "ENOENT"),
    (Errno::NOMEM, "ENOMEM"),
    (Errno::NONET, "ENONET"),
    (Errno::NOPROTOOPT, "ENOPROTOOPT"),
    (Errno::NOSPC, "ENOSPC"),
    (Errno::NOTCONN, "ENOTCONN"),
    (Errno::NOTSOCK, "ENOTSOCK"),
    (Errno::OPNOTSUPP, "EOPNOTSUPP"),
    (Errno::PERM, "EPERM"),
    (Errno::PIPE, "EPIPE"),
    (Errno::PROTO, "EPROTO"),
    (Errno::PROTONOSUPPORT, "EPROTONOSUPPORT"),
    (Errno::SOCKTNOSUPPORT, "ESOCKTNOSUPPORT"),
    (Errno::TIMEDOUT, "ETIMEDOUT"),
    (Errno::TOOMANYREFS, "ETOOMANYREFS"),
];

/// Name of the errno as in the manual pages, its number if it is not in the table, or `none` if the error has no
/// errno.
fn errno_name(error: &io::Error) -> Cow<'static, str> {
    let Some(errno) = Errno::from_io_error(error) else { return "none".into() };
    match ERRNO_NAMES.iter().find(|(named, _)| *named == errno) {
        Some((_, name)) => (*name).into(),
        None => errno.raw_os_error().to_string().into(),
    }
}

/// Operation of the node in which a system call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Operation {
    AcceptClient,
    AcceptOperator,
    AcceptSuccessor,
    /// Connecting to a cache server.
    ConnectServer,
    Listen,
    /// Taking the listening socket over from a running process.
    ClaimListener,
    /// Offering the listening socket to a process that comes after this one.
    OfferListener,
    ReceiveDatagram,
    SendDatagram,
}

impl Operation {
    /// Name in the log and the metrics.
    fn name(self) -> &'static str {
        match self {
            Operation::AcceptClient => "accept_client",
            Operation::AcceptOperator => "accept_operator",
            Operation::AcceptSuccessor => "accept_successor",
            Operation::ConnectServer => "connect_server",
            Operation::Listen => "listen",
            Operation::ClaimListener => "claim_listener",
            Operation::OfferListener => "offer_listener",
            Operation::ReceiveDatagram => "receive_datagram",
            Operation::SendDatagram => "send_datagram",
        }
    }
}

/// The last log line of an operation.
#[derive(Clone, Copy, Debug)]
struct LastLine {
    at: Instant,
    /// Lines suppressed since then.
    suppressed: u64,
}

/// Counts the failed system calls of a node, which has one thread.
#[derive(Debug, Default)]
pub struct FailedCalls {
    counts: RefCell<BTreeMap<(Operation, Cow<'static, str>), u64>>,
    logged: RefCell<BTreeMap<Operation, LastLine>>,
}

thread_local! {
    /// Counters of this thread's failures. They are thread-local because sockets fail in code without access to the
    /// metrics registry.
    static CURRENT: RefCell<Rc<FailedCalls>> = RefCell::default();
}

impl FailedCalls {
    /// Creates counters at 0 and installs them for all later failures on this thread.
    pub fn install() -> Rc<Self> {
        let installed = Rc::new(FailedCalls::default());
        CURRENT.set(installed.clone());
        installed
    }

    /// Appends one line for each operation and errno that has occurred, in the Prometheus text format.
    pub fn render(&self, out: &mut String) {
        for ((operation, errno), count) in &*self.counts.borrow() {
            let (operation, errno) = (operation.name(), escape_label(errno));
            let labels = format_args!("operation=\"{operation}\",errno=\"{errno}\"");
            append_line(out, format_args!("app_system_call_errors_total{{{labels}}} {count}"));
        }
    }

    fn count(&self, operation: Operation, errno: Cow<'static, str>) {
        *self.counts.borrow_mut().entry((operation, errno)).or_default() += 1;
    }

    /// Number of lines suppressed since the last one of this operation; `None` if none may be logged now.
    fn may_log(&self, operation: Operation, now: Instant) -> Option<u64> {
        let mut logged = self.logged.borrow_mut();
        if let Some(last) = logged.get_mut(&operation).filter(|last| now < last.at + LOG_INTERVAL) {
            last.suppressed += 1;
            return None;
        }
        let before = logged.insert(operation, LastLine { at: now, suppressed: 0 });
        Some(before.map_or(0, |last| last.suppressed))
    }
}

/// Counts a failure from which the node recovers, and logs it with its effect. Returns whether it was logged.
pub fn report(operation: Operation, error: &io::Error, effect: &'static str) -> bool {
    let current = CURRENT.with_borrow(Rc::clone);
    let errno = errno_name(error);
    current.count(operation, errno.clone());
    let Some(suppressed) = current.may_log(operation, Instant::now()) else { return false };
    warn!(operation = operation.name(), errno = %errno, effect, suppressed, %error, "a system call failed");
    true
}

/// Counts and logs a failure that ends a listener. The line is never suppressed, as no other follows.
fn report_fatal(operation: Operation, error: &io::Error, effect: &'static str) {
    let errno = errno_name(error);
    CURRENT.with_borrow(|current| current.count(operation, errno.clone()));
    error!(operation = operation.name(), errno = %errno, effect, %error, "a system call failed");
}

/// Reaction to a failure of accepting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAccept {
    /// Accept again at once.
    Immediately,
    /// Accept again after [`ACCEPT_PAUSE`].
    AfterPause,
    /// Free a descriptor if possible, then accept again after [`ACCEPT_PAUSE`].
    AfterFreeingDescriptors,
    /// The listener has failed for good.
    Never,
}

impl NextAccept {
    fn effect(self) -> &'static str {
        match self {
            NextAccept::Immediately => "retrying accept at once",
            NextAccept::AfterPause => "retrying accept after a pause",
            NextAccept::AfterFreeingDescriptors => {
                "retrying accept after a pause, with descriptors freed where possible"
            }
            NextAccept::Never => "accepting no more on this listener",
        }
    }
}

/// Decides after each failure of a listener when it accepts again.
#[derive(Debug)]
pub struct AcceptRetry {
    operation: Operation,
    /// Failures retried at once since the last accepted connection, or since the last pause after such failures.
    immediate_retries: u32,
}

impl AcceptRetry {
    /// State of a listener for this operation.
    pub fn new(operation: Operation) -> Self {
        AcceptRetry { operation, immediate_retries: 0 }
    }

    /// Records that a connection was accepted.
    pub fn accepted(&mut self) {
        self.immediate_retries = 0;
    }

    /// Reports a failure of accepting and returns what to do next.
    pub fn failed(&mut self, error: &io::Error) -> NextAccept {
        let next = self.next(classify(SystemCall::Accept, error));
        match next {
            NextAccept::Never => report_fatal(self.operation, error, next.effect()),
            _ => {
                report(self.operation, error, next.effect());
            }
        }
        next
    }

    fn next(&mut self, class: ErrorClass) -> NextAccept {
        match class {
            ErrorClass::Fatal => return NextAccept::Never,
            ErrorClass::LocalShortage => return NextAccept::AfterFreeingDescriptors,
            ErrorClass::RetryNow | ErrorClass::PeerFault => {}
        }
        if self.immediate_retries < MAX_IMMEDIATE_RETRIES {
            self.immediate_retries += 1;
            return NextAccept::Immediately;
        }
        self.immediate_retries = 0;
        NextAccept::AfterPause
    }
}
