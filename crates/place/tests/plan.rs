//! Tests of the assignment of models to engines.

use std::collections::HashMap;

use proptest::prelude::*;
use tsw_config::bundle;
use tsw_place::{plan, Engine};

fn engines(count: usize) -> Vec<Engine> {
    (0..count)
        .map(|number| Engine {
            upstream: format!("engine-{number}").parse().unwrap(),
            domain: format!("d{}", number % 3).parse().unwrap(),
            service: "reviews".parse().unwrap(),
            leaving: false,
        })
        .collect()
}

fn bundle(revision: u64, models: &str) -> bundle::Bundle {
    let text = format!(
        r#"{{"revision":{revision},"teams":{{}},"services":{{"reviews":{{"service":"reviews",
        "kind":"model","repeatable":true,"slots":4,"models":[{models}]}}}}}}"#
    );
    bundle::Bundle::parse(text.as_bytes()).expect("valid bundle")
}

const THREE_MODELS: &str = r#"{"model":"a","replicas":4},{"model":"b","replicas":3},{"model":"c"}"#;

proptest! {
    /// Guards against routers that compute different orders because their host lists are sorted
    /// differently or contain duplicates.
    #[test]
    fn the_order_of_the_list_does_not_matter(mut list in Just(engines(9)).prop_shuffle(), duplicate in 0..9_usize) {
        let bundle = bundle(1, THREE_MODELS);
        let sorted = plan::orders(&bundle, &engines(9));
        list.push(list[duplicate].clone());
        prop_assert_eq!(plan::orders(&bundle, &list), sorted);
    }

    /// Guards against too few or too many replicas, and against replicas concentrated in one
    /// failure domain.
    #[test]
    fn replicas_are_as_wanted_and_spread(count in 1..20_usize, wanted in 1..8_usize) {
        let models = format!(r#"{{"model":"a","replicas":{wanted}}}"#);
        let list = engines(count);
        let orders = plan::orders(&bundle(1, &models), &list);
        let mut domains: HashMap<String, usize> = HashMap::new();
        for engine in &list {
            if !orders[&engine.upstream].models.is_empty() {
                *domains.entry(engine.domain.to_string()).or_default() += 1;
            }
        }
        prop_assert_eq!(domains.values().sum::<usize>(), wanted.min(count));
        if count % 3 == 0 && wanted <= count {
            let most = domains.values().max().copied().unwrap_or(0);
            prop_assert!(most <= wanted.div_ceil(3));
        }
    }
}

/// Guards against an order that lacks models, or whose fencing token is not the bundle's revision.
#[test]
fn an_order_is_the_complete_state_at_the_revision() {
    let orders = plan::orders(&bundle(7, THREE_MODELS), &engines(9));
    assert_eq!(orders.len(), 9);
    let mut counts: HashMap<String, usize> = HashMap::new();
    for order in orders.values() {
        assert_eq!(order.fence, 7);
        for model in &order.models {
            *counts.entry(model.to_string()).or_default() += 1;
        }
    }
    assert_eq!((counts["a"], counts["b"], counts["c"]), (4, 3, 9));
}

/// Guards against engines without models while others have several.
#[test]
fn models_are_balanced() {
    let models =
        r#"{"model":"a","replicas":3},{"model":"b","replicas":3},{"model":"c","replicas":3}"#;
    let orders = plan::orders(&bundle(1, models), &engines(9));
    assert!(orders.values().all(|order| order.models.len() == 1));
}

/// Guards against orders to engines that are leaving or belong to another service.
#[test]
fn engines_that_leave_or_serve_others_get_no_order() {
    let mut list = engines(3);
    list[0].leaving = true;
    list[1].service = "tags".parse().unwrap();
    let orders = plan::orders(&bundle(1, THREE_MODELS), &list);
    let names: Vec<&str> = orders
        .keys()
        .map(tsw_base::name::Upstream::as_str)
        .collect();
    assert_eq!(names, ["engine-2"]);
}
