//! What reading the platform's list costs.

use stores::slices;

use super::{
    fit::{Row, Table},
    meter,
};

fn entry(number: usize) -> String {
    format!(
        r#"{{"metadata":{{"name":"model-e{number}","labels":{{"kubernetes.io/service-name":"model"}}}},"addressType":"IPv4","ports":[{{"port":36445}}],"endpoints":[{{"addresses":["127.0.0.1"],"conditions":{{"ready":true,"serving":true,"terminating":false}},"zone":"a","targetRef":{{"kind":"Pod","name":"e{number}","uid":"1"}}}}]}}"#
    )
}

fn list(entries: usize) -> Vec<u8> {
    let items: Vec<String> = (0..entries).map(entry).collect();
    let items = items.join(",");
    format!(
        r#"{{"apiVersion":"discovery.k8s.io/v1","kind":"EndpointSliceList","metadata":{{}},"items":[{items}]}}"#
    )
    .into_bytes()
}

/// Against the number of instances and targets listed, in the stand-in's form.
pub fn table() -> Table {
    let row = |entries: usize| {
        let body = list(entries);
        let read = meter::each(|_| {
            let listing = slices::read_listing(&body);
            let found = listing.map_or(0, |l| l.targets.len());
            assert_eq!(found, entries, "the list was not read");
        });
        Row {
            x: entries as f64,
            values: vec![read, body.len() as f64],
        }
    };
    Table {
        title: "One reading of the platform's list".to_owned(),
        axis: "entries",
        columns: vec!["read us", "bytes"],
        rows: [30, 300, 1000, 3000, 14_100].map(row).to_vec(),
    }
}
