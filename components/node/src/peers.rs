//! Requests between instances: serves those of peers, and sends those of this instance.
//!
//! All bodies are sealed with the key that the instances share.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use config::{Config, Override, PeerConfig, Update};
use gateway::{Gateway, Takeover};
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming};
use net::{Body, Budget, Client, Handler, Reply};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use targets::StreamId;
use types::{Incarnation, InstanceId, TargetId};
use wire::{Envelope, Key, MAX_ENVELOPE_BYTES, WireError};

use crate::{core::Core, outbox::MESSAGES_PATH};

/// Path at which an instance answers requests for the configuration.
const CONFIG_PATH: &str = "/peer/v1/config";
/// Path at which an instance is notified that a caller has resumed a stream at another instance.
const TAKEOVER_PATH: &str = "/peer/v1/taken-over";
/// Path at which instances exchange the overrides of operators.
const OVERRIDES_PATH: &str = "/peer/v1/overrides";
/// Maximum number of attempts to notify an instance of a takeover.
const TAKEOVER_ATTEMPTS: u32 = 3;
/// Time limit for reading the body of a peer's request, and for a peer's answer to a request.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of an answer to a request, in bytes. Configurations are the largest answers.
const MAX_CONFIG_BYTES: usize = 64 * 1024 * 1024;

/// A request for the changes of the configuration since a version.
#[derive(Debug, Deserialize, Serialize)]
struct ConfigRequest {
    to: InstanceId,
    version: u64,
}

/// Notifies the receiver that the sender has taken over one of its streams.
#[derive(Debug, Deserialize, Serialize)]
struct TakeoverNotice {
    to: InstanceId,
    target: TargetId,
    stream: StreamId,
}

/// The overrides that the sender knows; the answer is the list of those that the receiver knows.
#[derive(Debug, Deserialize, Serialize)]
struct OverrideExchange {
    to: InstanceId,
    known: Vec<Override>,
}

/// A request that names its receiver, so that a recording of it can't be replayed to another
/// instance.
trait Addressed: DeserializeOwned {
    /// Returns the receiver.
    fn to(&self) -> &InstanceId;
}

impl Addressed for ConfigRequest {
    fn to(&self) -> &InstanceId {
        &self.to
    }
}

impl Addressed for TakeoverNotice {
    fn to(&self) -> &InstanceId {
        &self.to
    }
}

impl Addressed for OverrideExchange {
    fn to(&self) -> &InstanceId {
        &self.to
    }
}

/// Serves the address for peers.
pub struct PeerServer {
    core: Arc<Core>,
    key: Key,
    config: Arc<dyn Config>,
    gateway: Gateway,
    /// Incarnation and sequence number of the last envelope that was accepted from each peer.
    last_envelopes: Mutex<HashMap<InstanceId, (Incarnation, u64)>>,
}

impl PeerServer {
    /// Creates the server.
    #[must_use]
    pub fn new(core: Arc<Core>, key: Key, config: Arc<dyn Config>, gateway: Gateway) -> Self {
        Self {
            core,
            key,
            config,
            gateway,
            last_envelopes: Mutex::default(),
        }
    }

    fn receive_envelope(&self, sealed: &[u8]) -> Reply {
        let envelope = match self.key.open_envelope(sealed, &self.core.me) {
            Ok(envelope) => envelope,
            Err(error) => return Reply::text(400, error.to_string()),
        };
        if !self.is_newer(&envelope) {
            return Reply::text(409, "an envelope that is not newer than the last");
        }
        for message in envelope.messages {
            self.core
                .receive(&envelope.from, envelope.incarnation, message);
        }
        Reply::new(204)
    }

    /// Whether an envelope is newer than the last one that was accepted from its sender, which it
    /// then replaces as the last.
    ///
    /// An envelope that was delayed on an old connection, or recorded and replayed by an attacker,
    /// could restore a permit that has been given back. The check of increasing sequence numbers
    /// rejects both.
    fn is_newer(&self, envelope: &Envelope) -> bool {
        let this = (envelope.incarnation, envelope.sequence);
        let mut last = self.last_envelopes.lock();
        let newer = last.get(&envelope.from).is_none_or(|before| this > *before);
        if newer {
            last.insert(envelope.from.clone(), this);
        }
        newer
    }

    /// Opens a sealed request and answers it with `handle`, if it is addressed to this instance.
    fn handle_addressed<T: Addressed>(
        &self,
        sealed: &[u8],
        handle: impl FnOnce(T) -> Reply,
    ) -> Reply {
        match self.key.open::<T>(sealed) {
            Ok(request) if *request.to() == self.core.me => handle(request),
            Ok(_) => Reply::text(400, WireError::OtherReceiver.to_string()),
            Err(error) => Reply::text(400, error.to_string()),
        }
    }

    fn sealed_reply(&self, content: &impl Serialize) -> Reply {
        Reply::new(200).with_body(net::full(self.key.seal(content)))
    }

    fn reply_config(&self, request: &ConfigRequest) -> Reply {
        self.sealed_reply(&self.config.since(request.version))
    }

    fn handle_takeover(&self, notice: &TakeoverNotice) -> Reply {
        self.gateway.handle_takeover(&notice.target, &notice.stream);
        Reply::new(204)
    }

    fn exchange_overrides(&self, theirs: &OverrideExchange) -> Reply {
        self.sealed_reply(&self.config.exchange_overrides(&theirs.known))
    }
}

#[async_trait]
impl Handler for PeerServer {
    async fn handle(&self, _peer: SocketAddr, req: Request<Incoming>) -> Response<Body> {
        let path = req.uri().path().to_owned();
        let mut memory = self.gateway.memory().share();
        let body = req.into_body();
        let read = net::read_shared(body, MAX_ENVELOPE_BYTES, PEER_TIMEOUT, &mut memory);
        let body = match read.await {
            Ok(body) => body,
            Err(error) => return Reply::text(400, error.to_string()).done(),
        };
        let reply = match path.as_str() {
            MESSAGES_PATH => self.receive_envelope(&body),
            CONFIG_PATH => self.handle_addressed(&body, |request| self.reply_config(&request)),
            TAKEOVER_PATH => self.handle_addressed(&body, |notice| self.handle_takeover(&notice)),
            OVERRIDES_PATH => {
                self.handle_addressed(&body, |theirs| self.exchange_overrides(&theirs))
            }
            _ => Reply::new(404),
        };
        reply.done()
    }
}

/// Sends requests to peers.
pub struct PeerClient {
    core: Arc<Core>,
    key: Key,
    client: Client,
    /// The memory that answers count against.
    memory: Budget,
}

impl PeerClient {
    /// Creates the client.
    #[must_use]
    pub fn new(core: Arc<Core>, key: Key, client: Client) -> Self {
        Self {
            core,
            key,
            client,
            memory: Budget::unlimited(),
        }
    }

    /// Sets the budget that answers count against.
    #[must_use]
    pub fn with_memory(mut self, memory: Budget) -> Self {
        self.memory = memory;
        self
    }
}

impl PeerClient {
    /// Sends a sealed request to a peer; returns the sealed answer, or `None` on any failure.
    async fn call<T: Serialize + Sync>(
        &self,
        peer: &InstanceId,
        path: &str,
        request: &T,
    ) -> Option<Bytes> {
        let peers = self.core.with_members(|members, _| members.peers());
        let addr = peers.iter().find(|m| m.id == *peer)?.addr;
        let body = Full::new(Bytes::from(self.key.seal(request)));
        let req = Request::post(path).body(body).ok()?;
        let timer = self.core.timer;
        let resp = timer
            .within(PEER_TIMEOUT, self.client.send(addr, req))
            .await?
            .ok()?;
        if !resp.status().is_success() {
            return None;
        }
        let body = resp.into_body();
        let read = net::read_held(body, MAX_CONFIG_BYTES, PEER_TIMEOUT, &self.memory);
        read.await.ok()
    }
}

#[async_trait]
impl PeerConfig for PeerClient {
    async fn fetch(&self, peer: &InstanceId, version: u64) -> Option<Update> {
        let request = ConfigRequest {
            to: peer.clone(),
            version,
        };
        let sealed = self.call(peer, CONFIG_PATH, &request).await?;
        // An update may be larger than the limit for envelopes. The seal proves that it comes from
        // a peer.
        self.key.open(&sealed).ok()
    }

    fn peers(&self) -> Vec<InstanceId> {
        self.core
            .with_members(|members, now| members.alive_peers(now))
    }

    async fn exchange_overrides(
        &self,
        peer: &InstanceId,
        ours: &[Override],
    ) -> Option<Vec<Override>> {
        let request = OverrideExchange {
            to: peer.clone(),
            known: ours.to_vec(),
        };
        let sealed = self.call(peer, OVERRIDES_PATH, &request).await?;
        self.key.open(&sealed).ok()
    }
}

#[async_trait]
impl Takeover for PeerClient {
    async fn notify(&self, holder: &InstanceId, target: &TargetId, stream: &StreamId) {
        let notice = TakeoverNotice {
            to: holder.clone(),
            target: target.clone(),
            stream: stream.clone(),
        };
        for _ in 0..TAKEOVER_ATTEMPTS {
            if self.call(holder, TAKEOVER_PATH, &notice).await.is_some() {
                return;
            }
        }
    }
}
