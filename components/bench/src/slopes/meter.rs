//! Counting processor time and memory of this process.

use std::{fs, time::Duration};

/// Processor time spent on one figure at least. The kernel counts in steps of a few
/// milliseconds.
const ENOUGH: Duration = Duration::from_millis(150);

/// Processor time of this thread.
pub fn cpu() -> Duration {
    let text = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let first = text.split_whitespace().next();
    Duration::from_nanos(first.and_then(|n| n.parse().ok()).unwrap_or(0))
}

/// Microseconds of processor time that one call takes; gives the call its number.
pub fn each(mut work: impl FnMut(usize)) -> f64 {
    let begin = cpu();
    let (mut calls, mut batch) = (0, 1);
    loop {
        for _ in 0..batch {
            work(calls);
            calls += 1;
        }
        let spent = cpu().saturating_sub(begin);
        if spent >= ENOUGH {
            return spent.as_secs_f64() * 1e6 / calls as f64;
        }
        batch *= 2;
    }
}

/// Bytes of memory of this process.
pub fn resident() -> f64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kib = line.and_then(|l| l.split_whitespace().next()?.parse::<f64>().ok());
    kib.unwrap_or(0.0) * 1024.0
}

/// The machine's load, for the record.
pub fn load_average() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace()
        .take(3)
        .collect::<Vec<_>>()
        .join(" ")
}
