//! Checks of the promises from outside: callers' records against the targets' logs.

use std::collections::BTreeMap;

use standins::{
    engine::{EngineLog, batch::Generation},
    service::ServiceLog,
};
use types::Execution;

use crate::caller::{Outcome, Record};

/// What the targets say after a run.
#[derive(Default)]
pub struct Logs {
    /// By engine.
    pub engines: BTreeMap<String, EngineLog>,
    /// By service.
    pub services: BTreeMap<String, ServiceLog>,
}

/// Gives every breach of a promise, in words.
#[must_use]
pub fn breaches(records: &[Record], logs: &Logs) -> Vec<String> {
    let mut breaches = cold(logs);
    breaches.extend(effects(logs));
    let generations = generations(logs);
    for record in records {
        breaches.extend(transcript(record, &generations));
    }
    breaches.extend(not_run(records, logs));
    breaches
}

fn generations(logs: &Logs) -> BTreeMap<&str, &Generation> {
    let all = logs.engines.values().flat_map(|log| &log.generations);
    all.map(|g| (g.stream.as_str(), g)).collect()
}

/// No cold target had more than it bears.
fn cold(logs: &Logs) -> Vec<String> {
    let engines = logs.engines.iter().map(|(name, log)| (name, log.lifecycle));
    let services = logs
        .services
        .iter()
        .map(|(name, log)| (name, log.lifecycle));
    engines
        .chain(services)
        .filter(|(_, life)| life.overfills > 0)
        .map(|(name, life)| {
            let (times, most) = (life.overfills, life.max_cold);
            format!("{name} was overfilled while cold, {times} times, with up to {most}")
        })
        .collect()
}

/// No effect took place twice.
fn effects(logs: &Logs) -> Vec<String> {
    let mut sums: BTreeMap<&str, u32> = BTreeMap::new();
    for (name, count) in logs.services.values().flat_map(|log| &log.effects) {
        *sums.entry(name).or_default() += count;
    }
    let doubled = sums.into_iter().filter(|(_, count)| *count > 1);
    doubled
        .map(|(name, count)| format!("{name} took effect {count} times"))
        .collect()
}

/// Each token once, in order, from one generation: the caller checked that as it read. What is
/// left is that a whole answer is the engine's whole answer.
fn transcript(record: &Record, generations: &BTreeMap<&str, &Generation>) -> Option<String> {
    let name = &record.name;
    if let Outcome::Wrong { fault } = &record.outcome {
        return Some(format!("{name} got a wrong answer: {fault}"));
    }
    if record.tokens == 0 {
        return None;
    }
    let Some(generation) = generations.get(record.stream.as_str()) else {
        return Some(format!(
            "{name} read stream {}, which no engine knows",
            record.stream
        ));
    };
    if generation.caller != *name {
        return Some(format!("{name} read the answer to {}", generation.caller));
    }
    let whole = record.outcome == Outcome::Whole;
    if whole && record.tokens != generation.output_tokens || record.tokens > generation.produced {
        return Some(format!(
            "{name} got {} tokens ({:?}) of {} produced and {} wanted",
            record.tokens, record.outcome, generation.produced, generation.output_tokens,
        ));
    }
    None
}

/// What was refused as not run did not run. Requests that were sent more than once are passed
/// over: an earlier try may have run.
fn not_run(records: &[Record], logs: &Logs) -> Vec<String> {
    let mut sent: BTreeMap<&str, usize> = BTreeMap::new();
    for record in records {
        *sent.entry(&record.name).or_default() += 1 + record.resumed as usize;
    }
    let refused = records.iter().filter(|record| {
        matches!(
            &record.outcome,
            Outcome::Refused {
                run: Some(Execution::NotRun),
                ..
            }
        ) && sent.get(record.name.as_str()) == Some(&1)
    });
    let ran = |name: &str| {
        let services = logs.services.values();
        let engines = logs.engines.values().flat_map(|log| &log.generations);
        services
            .flat_map(|log| log.effects.keys().chain(log.lookups.keys()))
            .any(|n| n == name)
            || engines.into_iter().any(|g| g.caller == name)
    };
    refused
        .filter(|record| ran(&record.name))
        .map(|record| {
            format!(
                "{} ran though refused as not run: {:?}",
                record.name, record.outcome
            )
        })
        .collect()
}
