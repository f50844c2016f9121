//! Metrics of the gateway.

mod fakes;

use fakes::{
    TestBed,
    admission::{AdmissionEvent, AdmissionStep},
    engine::Step,
    until,
};
use prometheus_client::{encoding::text::encode, registry::Registry};
use types::Refusal;

#[test]
fn each_request_is_counted_once_by_its_outcome() {
    smol::block_on(async {
        let bed = TestBed::new().await;
        let mut registry = Registry::default();
        bed.metrics.register(&mut registry);
        bed.engine.script_starts([
            Ok(vec![Step::Tokens(0, 3), Step::End]),
            Ok(vec![Step::Tokens(0, 3), Step::End]),
            Ok(vec![Step::Tokens(0, 2), Step::Crash]),
        ]);
        let full = Refusal::new(503, "full", "Full", "retry later");
        let grant = || AdmissionStep::Grant("t1");
        bed.admission.script([
            grant(),
            grant(),
            grant(),
            AdmissionStep::Refuse(full),
            AdmissionStep::Wait,
        ]);
        bed.complete(true, &[]).await;
        bed.complete(false, &[("x-class", "background")]).await;
        bed.complete(true, &[]).await;
        bed.complete(true, &[]).await;
        // The caller of the last request disconnects while it is queued.
        let waiting = async { drop(bed.complete(true, &[]).await) };
        let is_admit = |event: &AdmissionEvent| matches!(event, AdmissionEvent::Admit(_));
        let is_fifth_queued = || {
            bed.admission
                .events()
                .iter()
                .filter(|event| is_admit(event))
                .count()
                == 5
        };
        let disconnect = until(is_fifth_queued);
        futures_lite::future::or(waiting, disconnect).await;
        bed.wait_until_idle().await;
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
