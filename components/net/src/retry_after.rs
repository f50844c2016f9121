//! Parsing of the `Retry-After` header of responses.

use std::time::{Duration, SystemTime};

use hyper::{HeaderMap, header::RETRY_AFTER};

/// Longest time that is returned. A larger one would overflow when it is added to the time of day.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(24 * 60 * 60);

/// The time in the `Retry-After` header, given in seconds, which may have a fraction, or as an HTTP
/// date. The longest one if there are several; none if there is no valid one.
#[must_use]
pub fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let values = headers.get_all(RETRY_AFTER).iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    texts
        .filter_map(|text| seconds(text).or_else(|| time_until(text)))
        .max()
}

fn seconds(text: &str) -> Option<Duration> {
    let seconds: f64 = text.trim().parse().ok()?;
    let is_valid = seconds.is_finite() && seconds >= 0.0;
    is_valid.then(|| Duration::from_secs_f64(seconds.min(MAX_RETRY_AFTER.as_secs_f64())))
}

fn time_until(date: &str) -> Option<Duration> {
    let date = httpdate::parse_http_date(date.trim()).ok()?;
    let time = date.duration_since(SystemTime::now()).unwrap_or_default();
    Some(time.min(MAX_RETRY_AFTER))
}
