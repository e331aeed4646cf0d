//! Simulates many routers that choose engines based on outdated reports of each other. Guards against
//! prompts that queue at one engine while other engines are idle.

use indexmap::IndexSet;
use rand::{rngs::StdRng, Rng, SeedableRng};
use tsw_base::time::{Span, Timestamp};
use tsw_flow::{
    owner::{self, Node},
    pool::{Choice, Constraints, Entry, Pool, Usage},
    prompt::{Part, Prompt},
};
use tsw_route::{table::Engine, Name};

/// From the engine specification: prompt tokens processed per millisecond, and the objective.
const PREFILL_PER_MS: u64 = 56;
const OBJECTIVE_MS: u64 = 800;
/// Prompts per second of the whole fleet, and their lengths in tokens. A third of them are long.
const PROMPTS_PER_S: u64 = 250;
const SHORT: u64 = 800;
const LONG: u64 = 6_600;
const ROUTERS: usize = 15;
const ENGINES: usize = 53;
const DOMAINS: usize = 5;
const SECONDS: u64 = 20;

struct Prefill {
    router: usize,
    choice: Choice,
    until_ms: u64,
}

/// Simulates a fleet whose routers report their usage to each other every `period_ms`. Returns the
/// fraction of prompts that are not processed within a quarter of the objective.
fn late_fraction(period_ms: u64, owners: bool) -> f64 {
    let mut rng = StdRng::seed_from_u64(7);
    let domain = |number: usize| Name::from(format!("d{}", number % DOMAINS));
    let node = |prefix: &str, number: usize| Node {
        domain: domain(number),
        name: format!("{prefix}{number}").into(),
    };
    let engine = Engine {
        slots: 24,
        kv_capacity_tokens: 515_181,
        can_fetch: true,
    };
    let entries = (0..ENGINES).map(|number| Entry {
        id: node("e", number).name,
        service: "model".into(),
        address: ([10, 0, 0, u8::try_from(number).expect("small")], 80).into(),
        domain: domain(number),
        slots: engine.slots,
        leaving: false,
        started_at: 1,
        seq: 1,
        version: None,
    });
    let entries: Vec<Entry> = entries.collect();
    let routers: Vec<Node> = (0..ROUTERS).map(|number| node("r", number)).collect();
    let engines: Vec<Node> = (0..ENGINES).map(|number| node("e", number)).collect();
    let mut pools: Vec<Pool> = (0..ROUTERS)
        .map(|number| {
            let mut pool = Pool::default();
            pool.set_entries(entries.clone(), Some(engine));
            let owned = if owners {
                owner::owned(&routers[number].name, &routers, &engines)
            } else {
                IndexSet::new()
            };
            pool.set_owned(&owned);
            pool
        })
        .collect();
    // Time at which each engine has processed all prompts sent to it.
    let mut free_ms = vec![0u64; ENGINES];
    let mut prefills: Vec<Prefill> = Vec::new();
    let (mut asked, mut missed) = (0u64, 0u64);
    for now_ms in 1..SECONDS * 1_000 {
        let now = Timestamp::ZERO + Span::from_millis(now_ms);
        let (finished, running): (Vec<Prefill>, Vec<Prefill>) = prefills
            .into_iter()
            .partition(|prefill| prefill.until_ms <= now_ms);
        prefills = running;
        for prefill in finished {
            pools[prefill.router].record_prefill_done(&prefill.choice);
            pools[prefill.router].end(&prefill.choice);
        }
        // The routers report in turn.
        for router in 0..ROUTERS {
            if (now_ms + router as u64 * period_ms / ROUTERS as u64).is_multiple_of(period_ms) {
                let usages: Vec<(Name, Usage)> = pools[router]
                    .own_usage()
                    .map(|(id, usage)| (id.clone(), usage))
                    .collect();
                for other in (0..ROUTERS).filter(|other| *other != router) {
                    pools[other].set_peer_report(&routers[router].name, usages.clone());
                }
            }
        }
        if !rng.gen_ratio(PROMPTS_PER_S as u32, 1_000) {
            continue;
        }
        let tokens = if rng.gen_ratio(1, 3) { LONG } else { SHORT };
        let parts = vec![Part { id: now_ms, tokens }];
        let prompt = Prompt {
            tokens,
            expected_tokens: 100,
            parts,
        };
        let router = rng.gen_range(0..ROUTERS);
        let constraints = Constraints {
            domain: &routers[router].domain,
            prompt: Some(&prompt),
            avoid: &[],
            software: None,
            max_pending_tokens: 12_000,
            can_fetch: true,
            extra_slots: 1,
            report_age: Span::from_millis(period_ms),
        };
        asked += 1;
        let Some(choice) = pools[router].choose(now, &constraints) else {
            missed += 1;
            continue;
        };
        pools[router].begin(&choice, Some(&prompt));
        let number: usize = choice.id[1..].parse().expect("a number");
        let until_ms = free_ms[number].max(now_ms) + tokens / PREFILL_PER_MS;
        free_ms[number] = until_ms;
        missed += u64::from(until_ms - now_ms > OBJECTIVE_MS / 4);
        prefills.push(Prefill {
            router,
            choice,
            until_ms,
        });
    }
    missed as f64 / asked as f64
}

/// A quarter of the objective is allowed for processing, so that a long prompt can wait for at most
/// one other.
#[test]
fn owners_avoid_collisions_of_prompts_when_reports_are_outdated() {
    let (fresh, old, owned) = (
        late_fraction(10, false),
        late_fraction(1_200, false),
        late_fraction(1_200, true),
    );
    println!("fresh {fresh:.4} old {old:.4} owned {owned:.4}");
    assert!(owned < old / 2.0, "{owned} with owners, {old} without");
    assert!(owned < 0.05, "{owned}");
}
