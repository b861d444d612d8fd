//! `lynxcleat-spread`: what a change of a member costs a fleet, in virtual time.

use bpaf::Bpaf;
use lynxcleat_load::{Lost, spread};

/// Plays one change in fleets of several sizes, and prints what it cost.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Args {
    /// Members of the fleet; may be given several times
    #[bpaf(argument("N"), many)]
    members: Vec<usize>,
    /// Seeds 1 to N; the worst of them is printed
    #[bpaf(argument("N"), fallback(5), display_fallback)]
    seeds: u64,
}

const SIZES: [usize; 3] = [30, 300, 1_000];
const CASES: [(Lost, &str); 3] = [
    (Lost::Nobody, "nobody"),
    (Lost::Followers, "all that follow"),
    (Lost::Half, "55 % of all"),
];

fn main() {
    let args = args().run();
    let sizes = match args.members.is_empty() {
        true => SIZES.to_vec(),
        false => args.members,
    };
    println!(
        "| lost | members | store calls | messages each | bytes each | of these to another zone | all know after ms |"
    );
    println!("|---|---|---|---|---|---|---|");
    for (lost, name) in CASES {
        for members in &sizes {
            print_worst(name, *members, lost, args.seeds);
        }
    }
}

fn print_worst(name: &str, members: usize, lost: Lost, seeds: u64) {
    let reports: Vec<_> = (1..=seeds)
        .map(|seed| spread(members, lost, seed))
        .collect();
    let most =
        |of: fn(&lynxcleat_load::SpreadReport) -> f64| reports.iter().map(of).fold(0.0, f64::max);
    let never = reports.iter().any(|report| report.all_know_ms.is_none());
    let all_know = match never {
        true => "never".to_owned(),
        false => format!(
            "{:.1}",
            most(|report| report.all_know_ms.unwrap_or_default())
        ),
    };
    println!(
        "| {name} | {members} | {} | {:.1} | {:.0} | {:.0} | {all_know} |",
        most(|report| report.store_calls as f64),
        most(|report| report.messages_each),
        most(|report| report.bytes_each),
        most(|report| report.far_bytes_each),
    );
}
