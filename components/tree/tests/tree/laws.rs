//! Properties of arbitrary trees.

use std::collections::BTreeMap;

use proptest::prelude::*;
use tree::{
    Delta, DeltaError, Document, EffectiveConfig, Knobs, Node, NodePath, ParsedPath, Rules,
    Snapshot, check, origins,
};
use types::Class;

fn knobs() -> impl Strategy<Value = Knobs> {
    let class = prop::option::of(prop_oneof![
        Just(Class::Urgent),
        Just(Class::Normal),
        Just(Class::Background),
    ]);
    let number = || prop::option::of(1..50_u32);
    (
        (class, number(), number(), prop::option::of(any::<bool>())),
        (number(), number(), number(), number()),
        (number(), number(), number()),
    )
        .prop_map(|(first, second, third)| Knobs {
            class: first.0,
            deadline_ms: first.1.map(u64::from),
            max_output: first.2.map(u64::from),
            idempotent: first.3,
            in_flight: second.0,
            queue_limit: second.1,
            cold_limit: second.2,
            warm_limit: second.3,
            warm_after: third.0,
            memory: third.1.map(u64::from),
            retry_percent: third.2,
        })
}

fn node() -> impl Strategy<Value = Node> {
    knobs().prop_map(|knobs| Node {
        knobs,
        ..Node::default()
    })
}

fn path() -> impl Strategy<Value = NodePath> {
    let paths = [
        "/",
        "/services/s",
        "/services/s/routes/r",
        "/workspaces/w",
        "/workspaces/w/routes/s/r",
    ];
    prop::sample::select(paths.to_vec()).prop_map(NodePath::from)
}

fn nodes() -> impl Strategy<Value = BTreeMap<NodePath, Node>> {
    prop::collection::btree_map(path(), node(), 0..6)
}

fn delta() -> impl Strategy<Value = Delta> {
    (0..6_u64, path(), prop::option::of(node())).prop_map(|(version, path, node)| Delta {
        version,
        path,
        node,
    })
}

proptest! {
    #[test]
    fn merging_values_is_associative(a in knobs(), b in knobs(), c in knobs()) {
        let left = a.merged_with(&b).merged_with(&c);
        let right = a.merged_with(&b.merged_with(&c));
        prop_assert_eq!(left, right);
        prop_assert_eq!(&a.merged_with(&Knobs::default()), &a);
        prop_assert_eq!(&Knobs::default().merged_with(&a), &a);
        prop_assert_eq!(&a.merged_with(&a), &a);
    }

    // For every value, the rule used for requests must agree with the output of `get --in-force`.
    #[test]
    fn the_rule_of_a_request_and_the_origins_agree(mut nodes in nodes()) {
        for needed in ["/services/s", "/services/s/routes/r", "/workspaces/w"] {
            nodes.entry(needed.into()).or_default();
        }
        let snapshot = Snapshot { version: 1, nodes };
        let rules = Rules::new(&snapshot);
        let rule = rules.model(&"w".into(), "s", "r").expect("a route");
        let shown = origins(&snapshot, "/workspaces/w/routes/s/r").expect("a path");
        let effective = serde_json::to_value(&rule.knobs).expect("plain values");
        let effective = effective.as_object().expect("an object");
        prop_assert_eq!(shown.len(), effective.len());
        for origin in shown {
            prop_assert_eq!(&origin.value, &effective[&*origin.knob]);
            if let Some(from) = origin.from {
                let written = serde_json::to_value(&snapshot.nodes[&from].knobs).expect("values");
                prop_assert_eq!(&origin.value, &written[&*origin.knob]);
            }
        }
    }

    // Changes arrive late, more than once and with gaps. In any order, the version must grow by one
    // at a time and never decrease, and a rejected change must not modify the snapshot.
    #[test]
    fn changes_apply_in_version_order_only(deltas in prop::collection::vec(delta(), 0..30)) {
        let mut snapshot = Snapshot::default();
        for delta in deltas {
            let before = snapshot.clone();
            match snapshot.apply(&delta) {
                Ok(()) => {
                    prop_assert_eq!(snapshot.version, before.version + 1);
                    prop_assert_eq!(snapshot.nodes.get(&delta.path), delta.node.as_ref());
                }
                Err(DeltaError::Old { .. }) => {
                    prop_assert!(delta.version <= before.version);
                    prop_assert_eq!(&snapshot, &before);
                }
                Err(DeltaError::Gap { .. }) => {
                    prop_assert!(delta.version > before.version + 1);
                    prop_assert_eq!(&snapshot, &before);
                }
            }
        }
    }

    #[test]
    fn applying_the_changes_of_a_document_yields_its_tree(from in nodes(), to in nodes()) {
        let mut snapshot = Snapshot { version: 1, nodes: from };
        let document = Document { nodes: to };
        for change in document.changes_from(&snapshot.clone(), true) {
            snapshot.write(&change.path, change.node.as_ref());
        }
        prop_assert_eq!(Document::new(&snapshot), document);
    }

    #[test]
    fn parsed_paths_round_trip(text in "(/[a-z]{0,11}){1,6}|/(services|workspaces|data-centres)/[-a-zA-Z0-9._]{1,5}(/routes(/[a-z0-9]{1,3}){1,2})?") {
        if let Some(parsed) = ParsedPath::parse(&text) {
            prop_assert_eq!(&*parsed.path(), &*text);
            let chain = parsed.inheritance_chain();
            prop_assert_eq!(chain.first(), Some(&ParsedPath::Root));
            prop_assert_eq!(chain.last(), Some(&parsed));
        }
    }

    // Whatever a peer, the table service or an operator's file contains, parsing gives an error or
    // a tree, and any tree can be checked and indexed, however wrong it is.
    #[test]
    fn no_input_makes_parsing_or_checking_a_tree_panic(
        nodes in prop::collection::btree_map("(/[-a-z.]{0,9}){0,5}", node(), 0..4),
        noise in prop::collection::vec((0..400_usize, any::<u8>()), 0..4),
    ) {
        let nodes = nodes.into_iter().map(|(path, node)| (path.into(), node)).collect();
        let mut text = serde_json::to_vec(&Snapshot { version: 1, nodes }).expect("plain values");
        for (position, byte) in noise {
            if let Some(old) = text.get_mut(position) {
                *old = byte;
            }
        }
        if let Ok(snapshot) = serde_json::from_slice::<Snapshot>(&text) {
            let faults = check(&snapshot);
            let rules = Rules::new(&snapshot);
            prop_assert_eq!(rules.version(), snapshot.version);
            prop_assert!(faults.iter().all(|fault| !fault.problem.is_empty()));
        }
    }
}
