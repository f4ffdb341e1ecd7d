//! Classification of what `recv(2)` returns on an idle connection.

use rustix::io::Errno;

use super::*;

#[test]
fn a_peek_interrupted_by_a_signal_is_repeated() {
    let peek_with = |mut results: Vec<io::Result<usize>>| classify_peek(|| results.pop().unwrap());
    let interrupted = || Err(Errno::INTR.into());
    assert_eq!(peek_with(vec![Err(Errno::AGAIN.into()), interrupted(), interrupted()]), PeerState::Quiet);
    assert_eq!(peek_with(vec![Ok(0), interrupted()]), PeerState::Closed);
    assert_eq!(peek_with(vec![Ok(1), interrupted()]), PeerState::Unusable);
    for errno in [Errno::TIMEDOUT, Errno::HOSTUNREACH, Errno::CONNRESET] {
        assert_eq!(peek_with(vec![Err(errno.into())]), PeerState::Unusable, "{errno:?}");
    }
}
