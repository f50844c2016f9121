//! Ports that tests pick for the processes that they start.

use std::{
    net::TcpListener,
    process::Command,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use bench::process::free_addr;

/// Ports that are picked while other processes start.
const PORTS: usize = 1_500;
/// Pause after each port.
const PICK_PAUSE: Duration = Duration::from_micros(200);
/// Threads that start processes meanwhile.
const STARTERS: usize = 4;

/// Guards against a port that a process which is just being started still holds: it has the files of its
/// parent until its program begins.
#[test]
fn a_port_that_was_picked_is_free_while_other_processes_start() {
    let has_ended = Arc::new(AtomicBool::new(false));
    let starters: Vec<_> = (0..STARTERS)
        .map(|_| {
            let has_ended = Arc::clone(&has_ended);
            thread::spawn(move || {
                while !has_ended.load(Ordering::Acquire) {
                    let started = Command::new("true").status();
                    assert!(started.is_ok());
                }
            })
        })
        .collect();
    let mut taken = 0;
    for _ in 0..PORTS {
        let addr = free_addr().expect("a free port");
        taken += usize::from(TcpListener::bind(addr).is_err());
        thread::sleep(PICK_PAUSE);
    }
    has_ended.store(true, Ordering::Release);
    for starter in starters {
        starter.join().expect("processes start");
    }
    assert_eq!(taken, 0, "of {PORTS}");
}
