//! Pattern: many routers choose engines while what they know of each other is old. Guards against
//! prompts that wait behind others at one engine while further engines are idle.

use indexmap::IndexSet;
use rand::{rngs::StdRng, Rng, SeedableRng};
use tsw_base::time::{Span, Tick};
use tsw_flow::{
    owner::{self, Place},
    pool::{Ask, Choice, Entry, Pool, Use},
    prompt::{Part, Prompt},
};
use tsw_route::{table::Engine, Name};

/// The sheet: prompt tokens that an engine reads in a millisecond, and the objective.
const READ_PER_MS: u64 = 56;
const OBJECTIVE_MS: u64 = 800;
/// Prompts a second of the whole fleet, and their tokens: a third of them are long.
const PROMPTS_PER_S: u64 = 250;
const SHORT: u64 = 800;
const LONG: u64 = 6_600;
const ROUTERS: usize = 15;
const ENGINES: usize = 53;
const DOMAINS: usize = 5;
const SECONDS: u64 = 20;

struct Read {
    router: usize,
    choice: Choice,
    until_ms: u64,
}

/// Plays a fleet whose routers tell each other what they use every `period_ms`, and returns the part
/// of the prompts that are not read within the objective.
fn late(period_ms: u64, owners: bool) -> f64 {
    let mut rng = StdRng::seed_from_u64(7);
    let domain = |number: usize| Name::from(format!("d{}", number % DOMAINS));
    let place = |prefix: &str, number: usize| Place {
        domain: domain(number),
        name: format!("{prefix}{number}").into(),
    };
    let engine = Engine {
        slots: 24,
        kv_capacity_tokens: 515_181,
        can_fetch: true,
    };
    let entries = (0..ENGINES).map(|number| Entry {
        id: place("e", number).name,
        service: "model".into(),
        address: ([10, 0, 0, u8::try_from(number).expect("small")], 80).into(),
        domain: domain(number),
        slots: engine.slots,
        leaving: false,
        born: 1,
        seq: 1,
    });
    let entries: Vec<Entry> = entries.collect();
    let routers: Vec<Place> = (0..ROUTERS).map(|number| place("r", number)).collect();
    let engines: Vec<Place> = (0..ENGINES).map(|number| place("e", number)).collect();
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
    // When each engine has read what was sent to it.
    let mut free_ms = vec![0u64; ENGINES];
    let mut reads: Vec<Read> = Vec::new();
    let (mut asked, mut missed) = (0u64, 0u64);
    for now_ms in 1..SECONDS * 1_000 {
        let now = Tick::ZERO + Span::from_millis(now_ms);
        let (read, left): (Vec<Read>, Vec<Read>) =
            reads.into_iter().partition(|read| read.until_ms <= now_ms);
        reads = left;
        for read in read {
            pools[read.router].read(&read.choice);
            pools[read.router].end(&read.choice);
        }
        // Each router speaks in its turn.
        for router in 0..ROUTERS {
            if (now_ms + router as u64 * period_ms / ROUTERS as u64).is_multiple_of(period_ms) {
                let uses: Vec<(Name, Use)> = pools[router]
                    .own()
                    .map(|(id, used)| (id.clone(), used))
                    .collect();
                for other in (0..ROUTERS).filter(|other| *other != router) {
                    pools[other].set_others(&routers[router].name, uses.clone());
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
            expected: 100,
            parts,
        };
        let router = rng.gen_range(0..ROUTERS);
        let ask = Ask {
            domain: &routers[router].domain,
            prompt: Some(&prompt),
            avoid: &[],
            most_unread: 12_000,
            can_fetch: true,
            spare: 1,
            statement_age: Span::from_millis(period_ms),
        };
        asked += 1;
        let Some(choice) = pools[router].choose(now, &ask) else {
            missed += 1;
            continue;
        };
        pools[router].begin(&choice, Some(&prompt));
        let number: usize = choice.id[1..].parse().expect("a number");
        let until_ms = free_ms[number].max(now_ms) + tokens / READ_PER_MS;
        free_ms[number] = until_ms;
        missed += u64::from(until_ms - now_ms > OBJECTIVE_MS / 4);
        reads.push(Read {
            router,
            choice,
            until_ms,
        });
    }
    missed as f64 / asked as f64
}

/// With a quarter of the objective for reading, a prompt of the longer kind may wait for one other
/// at most.
#[test]
fn owners_keep_prompts_apart_when_statements_are_old() {
    let (fresh, old, owned) = (late(10, false), late(1_200, false), late(1_200, true));
    println!("fresh {fresh:.4} old {old:.4} owned {owned:.4}");
    assert!(owned < old / 2.0, "{owned} with owners, {old} without");
    assert!(owned < 0.05, "{owned}");
}
