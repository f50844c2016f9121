//! Feeding a generation to callers, as it is produced or whole.

use std::{sync::Arc, time::Duration};

use async_channel::Receiver;
use bytes::BytesMut;
use net::{Body, BodySender, Reply, full};

use crate::{
    control::Call,
    engine::{Inner, batch::End, text},
};

impl Inner {
    /// Streams a generation from an offset to one caller.
    pub(super) fn stream(self: &Arc<Self>, number: usize, from: u64, woken: Receiver<()>) -> Body {
        let (tx, body) = net::channel();
        let feed = Arc::clone(self).feed(number, from, woken, tx);
        workers::spawn(feed).detach();
        body
    }

    async fn feed(
        self: Arc<Self>,
        number: usize,
        mut at: u64,
        woken: Receiver<()>,
        tx: BodySender,
    ) {
        loop {
            let (api, stream, produced, wanted, end) = {
                let state = self.state.lock();
                let known = &state.batch.all[number];
                (
                    known.api,
                    known.stream.clone(),
                    known.produced,
                    known.wanted,
                    known.end,
                )
            };
            let mut buf = BytesMut::new();
            while at < produced {
                text::event(&mut buf, api, &stream, at, at + 1 == wanted);
                at += 1;
            }
            if end == Some(End::Finished) {
                buf.extend_from_slice(b"data: [DONE]\n\n");
            }
            if !buf.is_empty() && tx.send(buf.freeze()).await.is_err() {
                return;
            }
            if end.is_some() {
                tx.finish();
                return;
            }
            if !next(&woken, &tx).await {
                return;
            }
        }
    }

    /// Waits for the whole answer.
    pub(super) async fn whole(&self, number: usize, woken: Receiver<()>, call: &Call) -> Reply {
        loop {
            {
                let state = self.state.lock();
                let known = &state.batch.all[number];
                match known.end {
                    Some(End::Finished) => {
                        let (prompt, produced) = (known.prompt, known.produced);
                        let body = text::whole(known.api, &known.stream, prompt, produced);
                        return Reply::new(200)
                            .with_header("content-type", "application/json")
                            .with_body(full(body));
                    }
                    Some(_) => {
                        call.link.cut();
                        return Reply::new(500);
                    }
                    None => {}
                }
            }
            if woken.recv().await.is_err() {
                return Reply::new(500);
            }
        }
    }
}

/// Waits until there may be more; false once the caller has gone.
async fn next(woken: &Receiver<()>, tx: &BodySender) -> bool {
    // A caller that went away is only noticed by writing; looking now and then is enough here.
    let look = Duration::from_millis(500);
    while !tx.is_closed() {
        match timer::Timer::new().within(look, woken.recv()).await {
            Some(woken) => return woken.is_ok(),
            None => continue,
        }
    }
    false
}
