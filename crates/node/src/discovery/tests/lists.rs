//! Which lists are handed on, and which are refused.

use tokio::net::TcpListener;
use tokio::sync::mpsc::unbounded_channel;

use super::super::*;
use super::{list, member, pushed, serve};

/// What a discovery that answers so comes to: why it was left, and the servers of each list handed on.
fn followed(answers: Vec<String>) -> (String, Vec<usize>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (news, mut told) = unbounded_channel();
        let (_moves, at) = watch::channel(address);
        let discovery = Discovery::new(at, &pushed(1.0), Clock::start(), news);
        let (ended, ()) = tokio::join!(discovery.follow(address), serve(listener, answers));
        let Err(failure) = ended;
        let mut sizes = Vec::new();
        while let Ok(Message::Roster(roster)) = told.try_recv() {
            sizes.push(roster.members.len());
        }
        (failure.to_string(), sizes)
    })
}

#[test]
fn of_changes_whose_revision_fell_nothing_is_handed_on() {
    let first = list(5, true, &[member(1, "ready"), member(2, "ready")]);
    for complete in [false, true] {
        let fell = list(4, complete, &[member(1, "gone")]);
        let (why, told) = followed(vec![first.clone(), fell]);
        assert_eq!((&why[..], told), ("the list's revision fell", vec![2]));
    }
}

/// A list of `MAX_BODY` bytes is read; one byte more, and the last list stands.
#[test]
fn a_list_over_its_size_is_refused_and_the_last_one_stands() {
    let padded = |revision, size: usize| {
        let text = list(revision, true, &[member(1, "ready")]);
        let spaces = " ".repeat(size - text.len());
        text.replacen(",\"members\"", &format!("{spaces},\"members\""), 1)
    };
    let first = list(1, true, &[member(1, "ready"), member(2, "ready")]);
    let (why, told) = followed(vec![first, padded(2, MAX_BODY), padded(3, MAX_BODY + 1)]);
    assert_eq!((why, told), (format!("the list is longer than {MAX_BODY} bytes"), vec![2, 1]));
}

#[test]
fn a_list_that_grows_past_its_bound_is_refused_and_the_last_one_stands() {
    let ready = |ids: std::ops::Range<usize>| ids.map(|n| member(n, "ready")).collect::<Vec<_>>();
    let full = list(1, true, &ready(0..MAX_SERVERS));
    let told = format!("the list names {} servers, at most {MAX_SERVERS} are held", MAX_SERVERS + 1);
    let whole = list(1, true, &ready(0..MAX_SERVERS + 1));
    assert_eq!(followed(vec![whole]), (told.clone(), vec![]));
    // One for one is room enough, one more is not; what is named again is no further one.
    let exchanged = list(2, false, &[member(0, "gone"), member(MAX_SERVERS, "ready"), member(1, "draining")]);
    let one_more = list(3, false, &[member(0, "ready")]);
    assert_eq!(followed(vec![full, exchanged, one_more]), (told, vec![MAX_SERVERS, 3]));
}
