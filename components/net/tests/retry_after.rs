//! The forms of `Retry-After` that servers send.

use std::time::{Duration, SystemTime};

use hyper::{HeaderMap, header::RETRY_AFTER};

fn parse(values: &[&str]) -> Option<Duration> {
    let mut headers = HeaderMap::new();
    for value in values {
        headers.append(RETRY_AFTER, value.parse().expect("a header value"));
    }
    net::retry_after(&headers)
}

#[test]
fn seconds_may_have_a_fraction() {
    assert_eq!(parse(&["3"]), Some(Duration::from_secs(3)));
    assert_eq!(parse(&[" 0.25 "]), Some(Duration::from_millis(250)));
    assert_eq!(parse(&["0"]), Some(Duration::ZERO));
}

#[test]
fn a_date_counts_from_now() {
    let date = httpdate::fmt_http_date(SystemTime::now() + Duration::from_secs(100));
    let time = parse(&[&date]).expect("a time");
    assert!((98..=100).contains(&time.as_secs()), "{time:?}");
    let past = httpdate::fmt_http_date(SystemTime::UNIX_EPOCH);
    assert_eq!(parse(&[&past]), Some(Duration::ZERO));
}

/// Guards against an invalid time that stops the process or counts as a long one.
#[test]
fn an_invalid_time_is_none_and_a_huge_one_is_bounded() {
    for text in ["", "soon", "-1", "NaN", "inf", "1e999", "1,5"] {
        assert_eq!(parse(&[text]), None, "{text}");
    }
    assert_eq!(parse(&["1e18"]), Some(Duration::from_secs(24 * 60 * 60)));
}

#[test]
fn the_longest_of_several_counts() {
    assert_eq!(
        parse(&["1", "7.5", "rubbish", "2"]),
        Some(Duration::from_millis(7_500))
    );
}
