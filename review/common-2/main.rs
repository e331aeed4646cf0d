//! Stand-ins and scenarios of the second review: the platform's store, plain and streaming workers, a slow link, and
//! consumers. They use the standard library only. `case NAME FOLDER` runs a scenario, writes `record.txt` into the
//! folder, and exits with 1 if a rule was broken, 0 if it held and 2 if the scenario could not run.

mod client;
mod cut;
mod engine;
mod link;
mod record;
mod router;
mod scenario;
mod store;
mod versions;
mod worker;

use std::{env, path::PathBuf, process};

fn main() {
    let mut arguments = env::args().skip(1);
    let (Some(name), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: case NAME FOLDER");
        process::exit(2);
    };
    let trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let record = record::Record::create(&PathBuf::from(folder).join("record.txt"));
    let Some(record) = record else { process::exit(2) };
    let broken = scenario::run(&name, trouble, &record);
    match broken {
        Ok(0) => record.line("the rule held"),
        Ok(count) => record.line(&format!("the rule was broken: {count}")),
        Err(ref error) => record.line(&format!("the scenario could not run: {error}")),
    }
    process::exit(match broken {
        Ok(0) => 0,
        Ok(_) => 1,
        Err(_) => 2,
    });
}
