//! Scenarios of the review. `review SCENARIO PROGRAM FOLDER RECORD TROUBLE`
//! exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.

mod back_end;
mod client;
mod deployment;
mod fuzz;
mod gateway;
mod http;
mod json;
mod late_orders;
mod order_surplus;
mod record;
mod store;
mod surplus;
mod targets;

use std::process::exit;

/// What a scenario found.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

/// Arguments of a scenario.
pub struct Arguments {
    pub program: String,
    pub folder: String,
    pub record: String,
    pub trouble: bool,
    pub seed: u64,
}

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let [scenario, program, folder, record, trouble, ..] = words.as_slice() else {
        eprintln!("review SCENARIO PROGRAM FOLDER RECORD TROUBLE [SEED]");
        exit(2);
    };
    let arguments = Arguments {
        program: program.clone(),
        folder: folder.clone(),
        record: record.clone(),
        trouble: trouble != "0",
        seed: words.get(5).and_then(|text| text.parse().ok()).unwrap_or(1),
    };
    let verdict = match scenario.as_str() {
        "surplus" => surplus::run(&arguments),
        "order-surplus" => order_surplus::run(&arguments),
        "fuzz" => fuzz::run(&arguments),
        "late-orders" => late_orders::run(&arguments, &late_orders::PLAN),
        "late-orders-drawn" => late_orders::run(&arguments, &late_orders::DRAWN_PLAN),
        "targets" => targets::run(&arguments),
        _ => Verdict::CouldNotRun,
    };
    exit(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::CouldNotRun => 2,
    });
}
