//! What peers ask of this instance.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use config::{Config, Override, PeerConfig, Update};
use gateway::{Gateway, Takeover};
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming};
use net::{Body, Client, Handler, Reply};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use targets::StreamId;
use types::{Incarnation, InstanceId, TargetId};
use wire::{Envelope, Key, MAX_ENVELOPE_BYTES, WireError};

use crate::{core::Core, outbox::MESSAGES_PATH};

/// Where peers ask for the configuration.
const CONFIG_PATH: &str = "/peer/v1/config";
/// Where peers tell that a caller goes on with a stream there.
const TAKEOVER_PATH: &str = "/peer/v1/taken-over";
/// Where peers exchange operators' overrides.
const OVERRIDES_PATH: &str = "/peer/v1/overrides";
/// Tries of telling it.
const TAKEOVER_TRIES: u32 = 3;
/// Time for a peer to send a whole envelope, or an answer.
const PATIENCE: Duration = Duration::from_secs(2);
/// The longest configuration that is taken from a peer, in bytes.
const CONFIG_LIMIT: usize = 64 * 1024 * 1024;

/// A question for what is newer than a configuration version.
#[derive(Debug, Deserialize, Serialize)]
struct ConfigQuestion {
    to: InstanceId,
    version: u64,
}

/// Word that the sender reads a stream now which the receiver held.
#[derive(Debug, Deserialize, Serialize)]
struct TakenOver {
    to: InstanceId,
    target: TargetId,
    stream: StreamId,
}

/// The overrides that the sender knows; the answer is a list of those the receiver knows.
#[derive(Debug, Deserialize, Serialize)]
struct Overrides {
    to: InstanceId,
    known: Vec<Override>,
}

/// A question that names its receiver, so that it can't be replayed to somebody else.
trait Addressed: DeserializeOwned {
    /// The receiver.
    fn to(&self) -> &InstanceId;
}

impl Addressed for ConfigQuestion {
    fn to(&self) -> &InstanceId {
        &self.to
    }
}

impl Addressed for TakenOver {
    fn to(&self) -> &InstanceId {
        &self.to
    }
}

impl Addressed for Overrides {
    fn to(&self) -> &InstanceId {
        &self.to
    }
}

/// Serves the peer address.
pub struct PeerServer {
    core: Arc<Core>,
    key: Key,
    config: Arc<dyn Config>,
    gateway: Gateway,
    /// The last envelope taken of each peer.
    last: Mutex<HashMap<InstanceId, (Incarnation, u64)>>,
}

impl PeerServer {
    /// Makes the server.
    #[must_use]
    pub fn new(core: Arc<Core>, key: Key, config: Arc<dyn Config>, gateway: Gateway) -> Self {
        Self {
            core,
            key,
            config,
            gateway,
            last: Mutex::default(),
        }
    }

    fn take(&self, sealed: &[u8]) -> Reply {
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

    /// An envelope that was delayed on an old connection, or recorded and sent again by somebody
    /// else, could bring back a permit that was given back. Numbers that only grow stop both.
    fn is_newer(&self, envelope: &Envelope) -> bool {
        let this = (envelope.incarnation, envelope.sequence);
        let mut last = self.last.lock();
        let newer = last.get(&envelope.from).is_none_or(|before| this > *before);
        if newer {
            last.insert(envelope.from.clone(), this);
        }
        newer
    }

    /// Answers a question that is meant for this instance.
    fn answer<T: Addressed>(&self, sealed: &[u8], answer: impl FnOnce(T) -> Reply) -> Reply {
        match self.key.open::<T>(sealed) {
            Ok(question) if *question.to() == self.core.me => answer(question),
            Ok(_) => Reply::text(400, WireError::OtherReceiver.to_string()),
            Err(error) => Reply::text(400, error.to_string()),
        }
    }

    fn sealed(&self, content: &impl Serialize) -> Reply {
        Reply::new(200).with_body(net::full(self.key.seal(content)))
    }

    fn answer_config(&self, question: &ConfigQuestion) -> Reply {
        self.sealed(&self.config.since(question.version))
    }

    fn let_go(&self, word: &TakenOver) -> Reply {
        self.gateway.handle_takeover(&word.target, &word.stream);
        Reply::new(204)
    }

    fn exchange(&self, theirs: &Overrides) -> Reply {
        self.sealed(&self.config.exchange(&theirs.known))
    }
}

#[async_trait]
impl Handler for PeerServer {
    async fn handle(&self, _peer: SocketAddr, req: Request<Incoming>) -> Response<Body> {
        let path = req.uri().path().to_owned();
        let body = match net::read_limited(req.into_body(), MAX_ENVELOPE_BYTES, PATIENCE).await {
            Ok(body) => body,
            Err(error) => return Reply::text(400, error.to_string()).done(),
        };
        let reply = match path.as_str() {
            MESSAGES_PATH => self.take(&body),
            CONFIG_PATH => self.answer(&body, |q| self.answer_config(&q)),
            TAKEOVER_PATH => self.answer(&body, |word| self.let_go(&word)),
            OVERRIDES_PATH => self.answer(&body, |theirs| self.exchange(&theirs)),
            _ => Reply::new(404),
        };
        reply.done()
    }
}

/// Asks peers for their configuration.
pub struct PeerClient {
    core: Arc<Core>,
    key: Key,
    client: Client,
}

impl PeerClient {
    /// Makes the client.
    #[must_use]
    pub const fn new(core: Arc<Core>, key: Key, client: Client) -> Self {
        Self { core, key, client }
    }
}

impl PeerClient {
    async fn ask<T: Serialize + Sync>(
        &self,
        peer: &InstanceId,
        path: &str,
        question: &T,
    ) -> Option<Bytes> {
        let peers = self.core.with_members(|members, _| members.peers());
        let addr = peers.iter().find(|m| m.id == *peer)?.addr;
        let body = Full::new(Bytes::from(self.key.seal(question)));
        let req = Request::post(path).body(body).ok()?;
        let timer = self.core.timer;
        let resp = timer
            .within(PATIENCE, self.client.send(addr, req))
            .await?
            .ok()?;
        if !resp.status().is_success() {
            return None;
        }
        net::read_all(resp.into_body(), CONFIG_LIMIT, PATIENCE)
            .await
            .ok()
    }
}

#[async_trait]
impl PeerConfig for PeerClient {
    async fn fetch(&self, peer: &InstanceId, version: u64) -> Option<Update> {
        let question = ConfigQuestion {
            to: peer.clone(),
            version,
        };
        let sealed = self.ask(peer, CONFIG_PATH, &question).await?;
        // An update may be larger than an envelope; it comes from an authenticated peer.
        self.key.open(&sealed).ok()
    }

    fn peers(&self) -> Vec<InstanceId> {
        self.core
            .with_members(|members, now| members.alive_peers(now))
    }

    async fn exchange(&self, peer: &InstanceId, ours: &[Override]) -> Option<Vec<Override>> {
        let question = Overrides {
            to: peer.clone(),
            known: ours.to_vec(),
        };
        let sealed = self.ask(peer, OVERRIDES_PATH, &question).await?;
        self.key.open(&sealed).ok()
    }
}

#[async_trait]
impl Takeover for PeerClient {
    async fn notify(&self, holder: &InstanceId, target: &TargetId, stream: &StreamId) {
        let word = TakenOver {
            to: holder.clone(),
            target: target.clone(),
            stream: stream.clone(),
        };
        for _ in 0..TAKEOVER_TRIES {
            if self.ask(holder, TAKEOVER_PATH, &word).await.is_some() {
                return;
            }
        }
    }
}
