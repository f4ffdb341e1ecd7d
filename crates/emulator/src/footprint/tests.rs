//! Parsing of `/proc` texts, and sampling of the test's own process.

use super::*;

#[test]
fn proc_texts_are_parsed_with_brackets_in_the_program_name() {
    let stat = "4242 (a) b (c) S 1 4242 4242 0 -1 4194560 900 0 0 0 123 45 0 0 20 0 3 0 100 5000000 700";
    assert_eq!(cpu_time(stat), Some(Duration::from_millis(1680)));
    assert_eq!(peak_memory_kib("Name:\thallpin\nVmPeak:\t  900 kB\nVmHWM:\t   742 kB\n"), Some(742));
    assert_eq!((cpu_time("cut short"), peak_memory_kib("VmHWM:\t")), (None, None));
}

#[test]
fn the_last_sample_stands_after_the_process_has_ended() {
    let mut node = ObservedNode::default();
    node.sample();
    assert_eq!(node.footprint(), Footprint::default());
    node.count_list_bytes(30);
    node.process_started(rustix::process::getpid());
    node.sample();
    let seen = node.footprint();
    assert!(seen.descriptors > 2 && seen.peak_memory_kib > 500 && seen.list_bytes == 30, "{seen:?}");
    let absent = Pid::from_raw(i32::MAX).expect("a number above 0");
    node.process_started(absent);
    node.sample();
    assert_eq!(node.footprint(), seen);
}
