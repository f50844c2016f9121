//! Requests of the demonstration's caller.

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

/// Time for each step of an exchange.
const PATIENCE: Duration = Duration::from_secs(30);
/// Bytes of an answer.
const ANSWER_LIMIT: usize = 1024 * 1024;

/// A whole answer.
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// When to come back, if the answer says so.
    pub retry_after: Option<String>,
    /// The body.
    pub text: String,
}

/// A caller with a key.
pub struct Caller {
    addr: SocketAddr,
    client: Client,
}

impl Caller {
    /// Makes a caller of the instance at this address.
    #[must_use]
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            client: Client::new(),
        }
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    /// No whole answer came in time.
    pub async fn ask(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Answer> {
        let resp = self.send(method, path, headers, body).await?;
        let (head, body) = resp.into_parts();
        let buf = read_all(body, ANSWER_LIMIT, PATIENCE).await.context(path)?;
        let retry_after = head.headers.get("retry-after");
        Ok(Answer {
            status: head.status.as_u16(),
            retry_after: retry_after.and_then(|v| v.to_str().ok()).map(String::from),
            text: String::from_utf8_lossy(&buf).into_owned(),
        })
    }

    /// Sends a request for a streamed answer and hands on each line as it comes.
    ///
    /// # Errors
    /// The answer is no stream, or broke off, or a line could not be dealt with.
    pub async fn stream(
        &self,
        path: &str,
        body: &str,
        mut each: impl FnMut(&str) -> Result<()>,
    ) -> Result<()> {
        let resp = self.send("POST", path, &[], body).await?;
        let status = resp.status();
        if !status.is_success() {
            let buf = read_all(resp.into_body(), ANSWER_LIMIT, PATIENCE).await;
            let text = buf.map(|buf| String::from_utf8_lossy(&buf).into_owned());
            let reason = format!("status {status}: {}", text.unwrap_or_default());
            return Err(Error::new(reason).with_context(path));
        }
        let mut body = resp.into_body();
        let mut buf = String::new();
        loop {
            let frame = Timer::new().within(PATIENCE, body.frame()).await;
            let frame = frame.ok_or_else(|| Error::new("the stream fell silent"))?;
            let Some(frame) = frame else {
                return Ok(());
            };
            if let Some(data) = frame.context("reading the stream")?.data_ref() {
                buf.push_str(&String::from_utf8_lossy(data));
            }
            while let Some(end) = buf.find('\n') {
                each(buf[..end].trim_end())?;
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
        let resp = Timer::new().within(PATIENCE, sent).await;
        resp.ok_or_else(|| Error::new("no answer in time"))?
            .context(path)
    }
}
