//! What the gateway counts.

mod fakes;

use fakes::{
    Bed,
    admission::{Note, Say},
    engine::Step,
    until,
};
use prometheus_client::{encoding::text::encode, registry::Registry};
use types::Refusal;

#[test]
fn each_request_is_counted_once_by_how_it_ended() {
    smol::block_on(async {
        let bed = Bed::new().await;
        let mut registry = Registry::default();
        bed.metrics.register(&mut registry);
        bed.engine.starts([
            Ok(vec![Step::Tokens(0, 3), Step::End]),
            Ok(vec![Step::Tokens(0, 3), Step::End]),
            Ok(vec![Step::Tokens(0, 2), Step::Die]),
        ]);
        let full = Refusal::new(503, "full", "Full", "come back");
        let go = || Say::Go("t1");
        bed.admission
            .script([go(), go(), go(), Say::No(full), Say::Wait]);
        bed.complete(true, &[]).await;
        bed.complete(false, &[("x-class", "background")]).await;
        bed.complete(true, &[]).await;
        bed.complete(true, &[]).await;
        // The last one leaves the queue.
        let waiting = async { drop(bed.complete(true, &[]).await) };
        let asked = |note: &Note| matches!(note, Note::Admit(_));
        let fifth = || bed.admission.notes().iter().filter(|n| asked(n)).count() == 5;
        let leaving = until(fifth);
        futures_lite::future::or(waiting, leaving).await;
        bed.idle().await;
        let mut text = String::new();
        encode(&mut text, &registry).expect("it can be written");
        for line in [
            r#"gateway_requests_total{class="normal",outcome="Whole"} 1"#,
            r#"gateway_requests_total{class="background",outcome="Whole"} 1"#,
            r#"gateway_requests_total{class="normal",outcome="Partial"} 1"#,
            r#"gateway_requests_total{class="normal",outcome="NotRun"} 1"#,
            r#"gateway_requests_total{class="normal",outcome="Left"} 1"#,
            r#"gateway_refusals_total{code="full"} 1"#,
            r#"gateway_refusals_total{code="engine-lost"} 1"#,
            "gateway_in_flight 0",
        ] {
            assert!(text.contains(line), "{line} is not in\n{text}");
        }
    });
}
