//! Binding with retries, and a fake listener that fails with given errors.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;

use rustix::io::Errno;

use super::*;

/// A fake listener whose first calls fail; later ones are passed to an inner listener.
pub(crate) struct FailingListener<L> {
    failures: RefCell<VecDeque<Errno>>,
    /// Error of all calls after these; `None` passes them on.
    default_failure: Option<Errno>,
    inner: L,
    calls: Cell<usize>,
}

impl<L> FailingListener<L> {
    /// Fails with each of these errors once.
    pub(crate) fn once_each(failures: impl IntoIterator<Item = Errno>, inner: L) -> Self {
        let failures = RefCell::new(failures.into_iter().collect());
        FailingListener { failures, default_failure: None, inner, calls: Cell::new(0) }
    }

    /// Fails with this error forever.
    pub(crate) fn always(errno: Errno, inner: L) -> Self {
        FailingListener { default_failure: Some(errno), ..Self::once_each([], inner) }
    }

    /// Number of calls of `accept` that have returned, with a connection or an error.
    pub(crate) fn calls(&self) -> usize {
        self.calls.get()
    }
}

impl<L: Accept> Accept for FailingListener<L> {
    type Stream = L::Stream;

    async fn accept(&self) -> io::Result<L::Stream> {
        let failure = self.failures.borrow_mut().pop_front().or(self.default_failure);
        if let Some(errno) = failure {
            self.calls.set(self.calls.get() + 1);
            return Err(errno.into());
        }
        let accepted = self.inner.accept().await;
        self.calls.set(self.calls.get() + 1);
        accepted
    }
}

/// Binds with these failures first; returns the time that it took and the result.
async fn bind_after(failures: &[Errno]) -> (Duration, io::Result<TcpListener>) {
    let (since, mut failures) = (Instant::now(), failures.iter());
    let address = "127.0.0.1:0".parse().unwrap();
    let bound = retry_bind(address, || match failures.next() {
        Some(errno) => Err((*errno).into()),
        None => bind(address, false),
    });
    let bound = bound.await;
    (since.elapsed(), bound)
}

/// A node that starts during a shortage of resources binds its address once the shortage is over.
#[tokio::test(start_paused = true)]
async fn binding_is_retried_until_a_shortage_is_over() {
    for errno in
        [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::NOSPC, Errno::ADDRINUSE, Errno::INTR]
    {
        let (took, bound) = bind_after(&[errno; 3]).await;
        assert!(bound.is_ok(), "{errno:?}: {bound:?}");
        assert!((RETRY_DELAY * 3..RETRY_DELAY * 4).contains(&took), "{errno:?}: {took:?}");
    }
}

/// Neither a lasting shortage nor an invalid address delays a start forever.
#[tokio::test(start_paused = true)]
async fn an_address_that_cannot_be_bound_fails_the_start_in_time() {
    let (took, bound) = bind_after(&[Errno::MFILE; 1000]).await;
    assert!(bound.is_err() && (BIND_TIMEOUT..BIND_TIMEOUT + RETRY_DELAY * 2).contains(&took), "{took:?}");
    for errno in [Errno::ADDRNOTAVAIL, Errno::ACCESS, Errno::AFNOSUPPORT, Errno::INVAL] {
        let (took, bound) = bind_after(&[errno]).await;
        assert!(bound.is_err() && took.is_zero(), "{errno:?}");
    }
}
