//! What peers and shards cost in membership.

use std::collections::{BTreeMap, BTreeSet};

use members::{
    Identity, Input, Membership,
    rendezvous::{Candidate, pick_owner},
};
use types::{InstanceId, Member, Moment, ServingState, Shard};
use wire::{Envelope, Heartbeat, Key, ShardSummary};

use super::{
    fit::{Row, Table},
    meter,
    world::{self, DATA_CENTRES, MODELS, NOW},
};

/// An instance among peers that own all shards by the usual rule.
pub struct Among {
    pub members: Membership,
    owned: BTreeMap<InstanceId, Vec<ShardSummary>>,
    others: Vec<Member>,
}

fn member(number: usize) -> Member {
    Member {
        id: world::instance(number),
        data_centre: world::shard(number % DATA_CENTRES * MODELS).data_centre,
        addr: std::net::SocketAddr::from(([127, 0, 0, 1], 9000)),
        state: ServingState::Live,
    }
}

impl Among {
    pub fn new(peers: usize, shards: usize) -> Self {
        let everyone: Vec<Member> = (0..=peers).map(member).collect();
        let candidate = |m: &Member| Candidate {
            id: m.id.clone(),
            data_centre: m.data_centre.clone(),
        };
        let candidates: Vec<Candidate> = everyone.iter().map(candidate).collect();
        let shards: BTreeSet<Shard> = (0..shards).map(world::shard).collect();
        let mut owned: BTreeMap<InstanceId, Vec<ShardSummary>> = BTreeMap::new();
        for shard in &shards {
            if let Some(owner) = pick_owner(shard, &candidates) {
                let summaries = owned.entry(owner.clone()).or_default();
                summaries.push(world::summary(shard.clone()));
            }
        }
        let me = Identity {
            id: everyone[0].id.clone(),
            data_centre: everyone[0].data_centre.clone(),
            incarnation: 1,
        };
        let mut among = Self {
            members: Membership::new(Moment::ZERO, me),
            owned,
            others: everyone[1..].to_vec(),
        };
        let mut out = Vec::new();
        let now = NOW;
        among.members.handle(now, Input::Listed(everyone), &mut out);
        for number in 0..peers {
            let heard = among.heard(number);
            among.members.handle(now, heard, &mut out);
        }
        among.members.handle(now, Input::Shards(shards), &mut out);
        among
    }

    fn heartbeat(&self, number: usize) -> Heartbeat {
        let peer = &self.others[number % self.others.len()];
        Heartbeat {
            stamp: NOW,
            echo: Some(NOW),
            data_centre: peer.data_centre.clone(),
            config_version: 1,
            draining: false,
            owned: self.owned.get(&peer.id).cloned().unwrap_or_default(),
            follows: Vec::new(),
            quarantine: 0,
        }
    }

    fn heard(&self, number: usize) -> Input {
        Input::Heartbeat {
            from: self.others[number % self.others.len()].id.clone(),
            incarnation: 1,
            heartbeat: self.heartbeat(number),
        }
    }

    fn envelope(&self, heartbeat: Heartbeat) -> Envelope {
        Envelope {
            format: Envelope::FORMAT,
            from: world::instance(0),
            incarnation: 1,
            to: world::instance(1),
            sequence: 1_000_000,
            messages: vec![heartbeat.into()],
        }
    }

    fn row(&mut self, x: usize) -> Row {
        let key = Key::new("key");
        let owned = self
            .owned
            .get(&world::instance(0))
            .cloned()
            .unwrap_or_default();
        let send = meter::each(|n| {
            let to = &self.others[n % self.others.len()].id;
            let heartbeat = self.members.heartbeat(NOW, to, owned.clone(), 1);
            let sealed = key.seal(&self.envelope(heartbeat));
            assert!(!sealed.is_empty(), "an envelope was sealed to nothing");
        });
        let sealed: Vec<Vec<u8>> = (0..self.others.len().min(256))
            .map(|n| key.seal(&self.envelope(self.heartbeat(n))))
            .collect();
        let bytes: usize = sealed.iter().map(Vec::len).sum();
        let bytes = bytes as f64 / sealed.len() as f64;
        let open = meter::each(|n| {
            let taken = key.open_envelope(&sealed[n % sealed.len()], &world::instance(1));
            assert!(taken.is_ok(), "an envelope of our own can't be opened");
        });
        let mut out = Vec::new();
        let handle = meter::each(|n| {
            let heard = self.heard(n);
            self.members.handle(NOW, heard, &mut out);
            out.clear();
        });
        let tick = meter::each(|_| {
            self.members.handle(NOW, Input::Tick, &mut out);
            out.clear();
        });
        Row {
            x: x as f64,
            values: vec![send, open, handle, tick, bytes],
        }
    }
}

/// Against peers, and against shards.
pub fn tables() -> Vec<Table> {
    let columns = vec!["send us", "open us", "handle us", "tick us", "bytes"];
    let all = MODELS * DATA_CENTRES;
    let by_peers = |shards: usize| Table {
        title: format!("One heartbeat and one tick, {shards} shards"),
        axis: "peers",
        columns: columns.clone(),
        rows: [4, 8, 16, 32, 64, 128, 256, 512, 1024, 2100]
            .map(|peers| Among::new(peers, shards).row(peers))
            .to_vec(),
    };
    let by_shards = Table {
        title: "One heartbeat and one tick, 64 peers".to_owned(),
        axis: "shards",
        columns: columns.clone(),
        rows: [8, 32, 128, all]
            .map(|shards| Among::new(64, shards).row(shards))
            .to_vec(),
    };
    vec![by_peers(6), by_peers(all), by_shards]
}
