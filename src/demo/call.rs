//! HTTP client of the demonstration's caller.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use errors::{Context, Error, Result};
use http_body_util::{BodyExt, Full};
use hyper::{
    Request, Response,
    body::Incoming,
    header::{AUTHORIZATION, CONTENT_TYPE},
};
use net::{Client, read_all};
use timer::Timer;

use crate::demo::CALLER_KEY;

/// Timeout of each step of an exchange: the head of the answer, and each read of its body.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum size of the body of an answer.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// A complete answer.
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// The value of `Retry-After`, if the answer has one.
    pub retry_after: Option<String>,
    /// The body.
    pub text: String,
}

/// A caller that uses the key of the demonstration's workspace.
pub struct Caller {
    addr: SocketAddr,
    client: Client,
}

impl Caller {
    /// Makes a caller that sends to this address.
    #[must_use]
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            client: Client::new(),
        }
    }

    /// Sends a request and reads the complete answer.
    ///
    /// # Errors
    /// No complete answer came in time.
    pub async fn request(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Answer> {
        let resp = self.send(method, path, headers, body).await?;
        let (head, body) = resp.into_parts();
        let buf = read_all(body, MAX_ANSWER_BYTES, STEP_TIMEOUT)
            .await
            .context(path)?;
        let retry_after = head.headers.get("retry-after");
        Ok(Answer {
            status: head.status.as_u16(),
            retry_after: retry_after.and_then(|v| v.to_str().ok()).map(String::from),
            text: String::from_utf8_lossy(&buf).into_owned(),
        })
    }

    /// Sends a request for a streamed answer and calls `on_line` with each line as it arrives.
    ///
    /// # Errors
    /// The answer has an error status or was truncated, no data came in time, or `on_line` failed.
    pub async fn stream(
        &self,
        path: &str,
        body: &str,
        mut on_line: impl FnMut(&str) -> Result<()>,
    ) -> Result<()> {
        let resp = self.send("POST", path, &[], body).await?;
        let status = resp.status();
        if !status.is_success() {
            let buf = read_all(resp.into_body(), MAX_ANSWER_BYTES, STEP_TIMEOUT).await;
            let text = buf.map(|buf| String::from_utf8_lossy(&buf).into_owned());
            let reason = format!("status {status}: {}", text.unwrap_or_default());
            return Err(Error::new(reason).with_context(path));
        }
        let mut body = resp.into_body();
        let mut buf = String::new();
        loop {
            let frame = Timer::new().within(STEP_TIMEOUT, body.frame()).await;
            let frame = frame.ok_or_else(|| Error::new("no data on the stream in time"))?;
            let Some(frame) = frame else {
                return Ok(());
            };
            if let Some(data) = frame.context("reading the stream")?.data_ref() {
                buf.push_str(&String::from_utf8_lossy(data));
            }
            while let Some(end) = buf.find('\n') {
                on_line(buf[..end].trim_end())?;
                buf.drain(..=end);
            }
        }
    }

    async fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Response<Incoming>> {
        let mut builder = Request::builder()
            .method(method)
            .uri(path)
            .header(AUTHORIZATION, format!("Bearer {CALLER_KEY}"))
            .header(CONTENT_TYPE, "application/json");
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let body = Full::new(Bytes::copy_from_slice(body.as_bytes()));
        let req = builder.body(body).context(path)?;
        let sent = self.client.send(self.addr, req);
        let resp = Timer::new().within(STEP_TIMEOUT, sent).await;
        resp.ok_or_else(|| Error::new("no answer in time"))?
            .context(path)
    }
}
