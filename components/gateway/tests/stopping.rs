//! Requests that are still open when the time for a shutdown is over.

mod fakes;

use fakes::{
    KEY_A, TestBed, admission::AdmissionStep, body, engine::Step, in_time, problem, until,
};
use http_body_util::BodyExt;

/// Guards against a request that is cut without an answer, or told that it may have run although nothing was
/// sent.
#[test]
fn a_request_that_waits_when_the_instance_stops_is_told_that_it_has_not_run() {
    smol::block_on(async {
        let bed = TestBed::new().await;
        bed.admission.script([AdmissionStep::Wait]);
        let stop = async {
            until(|| !bed.admission.events().is_empty()).await;
            bed.gateway.stop();
        };
        let (answer, ()) = smol::future::zip(in_time(bed.complete(false, &[])), stop).await;
        assert_eq!(answer.problem(), problem(503, "stopping", "not-run"));
        bed.wait_until_idle().await;
    });
}

/// Guards against a promise that a request has not run which an engine works on.
#[test]
fn a_request_that_was_sent_when_the_instance_stops_may_have_run() {
    smol::block_on(async {
        let bed = TestBed::new().await;
        bed.engine.script_starts([Ok(vec![Step::Silent])]);
        let stop = async {
            until(|| bed.engine.silent_streams() > 0).await;
            bed.gateway.stop();
        };
        let (answer, ()) = smol::future::zip(in_time(bed.complete(true, &[])), stop).await;
        assert_eq!(answer.problem(), problem(504, "stopped-midway", "unknown"));
        bed.wait_until_idle().await;
    });
}

/// Guards against a stream that is cancelled at its engine because its instance stops, so that its caller can't
/// resume it elsewhere.
#[test]
fn a_stream_is_cut_and_goes_on_at_its_engine_when_the_instance_stops() {
    smol::block_on(async {
        let bed = TestBed::new().await;
        bed.engine
            .script_starts([Ok(vec![Step::Data(0, "a token"), Step::Silent])]);
        let stop = async {
            until(|| bed.engine.silent_streams() > 0).await;
            bed.gateway.stop();
        };
        let body = body(true);
        let resp = bed.open(KEY_A, "POST", "/v1/completions", &[], &body);
        let (resp, ()) = smol::future::zip(resp, stop).await;
        assert_eq!(resp.status(), 200);
        let read = resp.into_body().collect().await;
        assert!(read.is_err(), "it looks complete");
        bed.wait_until_idle().await;
        assert_eq!(bed.engine.cancel_count(), 0);
    });
}
