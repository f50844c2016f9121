//! Real instances without callers.

use std::{io, time::Duration};

use settings::Strategy;
use timer::Timer;

use super::{
    fit::{Row, Table},
    meter,
};
use crate::{
    deployment::{Deployment, Plan},
    process::{Process, Programs},
};

/// Time after the last one is ready until they are watched.
const SETTLING: Duration = Duration::from_secs(5);

fn plan(instances: usize) -> io::Result<Plan> {
    let text = format!(
        "{{data-centres: [a, b, c], instances: {instances}, workers: 1, model: model, engines: 3, \
         service: shop, replicas: 3, workspaces: [w0], tree: {{/services/model: {{kind: model}}, \
         /services/model/routes/chat: {{}}, /services/shop: {{kind: plain}}}}}}"
    );
    serde_saphyr::from_str(&text).map_err(io::Error::other)
}

fn mean(deployment: &Deployment, read: impl Fn(&Process) -> f64) -> f64 {
    let running = deployment
        .instances
        .iter()
        .filter_map(|i| i.process.as_ref());
    let sum: f64 = running.map(read).sum();
    sum / deployment.instances.len() as f64
}

/// Processor time and memory of each instance against their number; 3 targets of each of two
/// services in 3 data centres, so 6 shards.
///
/// # Errors
/// Passes on why instances did not start.
pub async fn table(programs: &Programs, numbers: &[usize], seconds: u64) -> io::Result<Table> {
    let mut rows = Vec::new();
    for &number in numbers {
        let plan = plan(number)?;
        let deployment = Deployment::start(programs.clone(), &plan, Strategy::Owner, None).await?;
        Timer::new().sleep(SETTLING).await;
        let begin = std::time::Instant::now();
        let before = mean(&deployment, |p| p.cpu().as_secs_f64());
        Timer::new().sleep(Duration::from_secs(seconds)).await;
        let used = mean(&deployment, |p| p.cpu().as_secs_f64()) - before;
        let share = 100.0 * used / begin.elapsed().as_secs_f64();
        let memory = mean(&deployment, |p| p.memory() as f64 / 1e6);
        eprintln!(
            "{number}: {share:.2}% of a core, load {}",
            meter::load_average()
        );
        rows.push(Row {
            x: number as f64,
            values: vec![share, memory],
        });
    }
    Ok(Table {
        title: format!("Idle instances with one worker each, 6 shards, watched for {seconds} s"),
        axis: "instances",
        columns: vec!["% of a core each", "MB each"],
        rows,
    })
}
