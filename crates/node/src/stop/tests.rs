//! Shutdown times compared with the time of the kill.

use super::*;

#[test]
fn requests_sent_before_connections_close_have_their_full_deadline_before_the_kill() {
    let ms = Duration::from_millis;
    for (longest, kill) in [(200, 900), (2000, 2700), (3000, 3700), (9000, 3700)].map(|(a, b)| (ms(a), ms(b)))
    {
        let stop = ShutdownTimes::of(longest);
        assert!(stop.finish_after < kill, "{longest:?}: the last answer at {:?}", stop.finish_after);
        let time_left = stop.finish_after - stop.close_idle_after;
        assert_eq!(time_left, longest.min(ms(3000)), "left for the last request");
    }
}
