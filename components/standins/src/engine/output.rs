//! Responses with the output of a generation: streamed as it is produced, or buffered.

use std::{sync::Arc, time::Duration};

use async_channel::Receiver;
use bytes::BytesMut;
use net::{Body, BodySender, Reply, full};

use crate::{
    control::ReceivedRequest,
    engine::{Inner, batch::EndReason, text},
};

impl Inner {
    /// Body that streams a generation to one caller, starting at token offset `from`.
    pub(super) fn stream(
        self: &Arc<Self>,
        number: usize,
        from: u64,
        wake_rx: Receiver<()>,
    ) -> Body {
        let (tx, body) = net::channel();
        let forward = Arc::clone(self).forward(number, from, wake_rx, tx);
        workers::spawn(forward).detach();
        body
    }

    async fn forward(
        self: Arc<Self>,
        number: usize,
        mut offset: u64,
        wake_rx: Receiver<()>,
        tx: BodySender,
    ) {
        loop {
            let (api, stream, produced, output_tokens, end) = {
                let state = self.state.lock();
                let generation = &state.batch.generations[number];
                (
                    generation.api,
                    generation.stream.clone(),
                    generation.produced,
                    generation.output_tokens,
                    generation.end,
                )
            };
            let mut buf = BytesMut::new();
            while offset < produced {
                text::write_event(&mut buf, api, &stream, offset, offset + 1 == output_tokens);
                offset += 1;
            }
            if end == Some(EndReason::Finished) {
                buf.extend_from_slice(b"data: [DONE]\n\n");
            }
            if !buf.is_empty() && tx.send(buf.freeze()).await.is_err() {
                return;
            }
            if end.is_some() {
                tx.finish();
                return;
            }
            if !wait_for_output(&wake_rx, &tx).await {
                return;
            }
        }
    }

    /// Waits until the generation has ended and returns its output in one response. Closes the
    /// connection if the generation ended early.
    pub(super) async fn buffered(
        &self,
        number: usize,
        wake_rx: Receiver<()>,
        req: &ReceivedRequest,
    ) -> Reply {
        loop {
            {
                let state = self.state.lock();
                let generation = &state.batch.generations[number];
                match generation.end {
                    Some(EndReason::Finished) => {
                        let (prompt, produced) = (generation.prompt_tokens, generation.produced);
                        let body = text::complete_response(
                            generation.api,
                            &generation.stream,
                            prompt,
                            produced,
                        );
                        return Reply::new(200)
                            .with_header("content-type", "application/json")
                            .with_body(full(body));
                    }
                    Some(_) => {
                        req.connection.close();
                        return Reply::new(500);
                    }
                    None => {}
                }
            }
            if wake_rx.recv().await.is_err() {
                return Reply::new(500);
            }
        }
    }
}

/// Waits until there may be more output; returns false once the caller has disconnected.
async fn wait_for_output(wake_rx: &Receiver<()>, tx: &BodySender) -> bool {
    // Nothing reports that a caller has disconnected, so this polls for it.
    let poll_interval = Duration::from_millis(500);
    while !tx.is_closed() {
        match timer::Timer::new()
            .within(poll_interval, wake_rx.recv())
            .await
        {
            Some(received) => return received.is_ok(),
            None => continue,
        }
    }
    false
}
