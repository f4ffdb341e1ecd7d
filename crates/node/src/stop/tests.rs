//! The times of a stop, against the kill.

use super::*;

#[test]
fn what_comes_until_connections_close_has_its_whole_deadline_before_the_kill() {
    let ms = Duration::from_millis;
    for (longest, kill) in [(200, 900), (2000, 2700), (3000, 3700), (9000, 3700)].map(|(a, b)| (ms(a), ms(b)))
    {
        let stop = Stop::of(longest);
        assert!(stop.end_after < kill, "{longest:?}: the last answer at {:?}", stop.end_after);
        let whole = stop.end_after - stop.part_after;
        assert_eq!(whole, longest.min(ms(3000)), "left for what comes last");
    }
}
