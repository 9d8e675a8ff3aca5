//! `gradeshunt-soak`: plays seeds of the soak test, and prints what each came to. It fails where a rule was broken.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, ValueEnum};
use gradeshunt_soak::play::{play, Options, Schedule};
use gradeshunt_soak::trouble::Kind;

/// As [`Schedule`] has them.
#[derive(Clone, Copy, ValueEnum)]
enum Order {
    Lanes,
    Pairs,
    Triples,
}

/// Plays a few dozen real processes under seeded faults that overlap in time.
#[derive(Parser)]
struct Arguments {
    /// The program to play.
    #[arg(long, default_value = "target/release/gradeshunt")]
    program: PathBuf,
    /// The first seed, and how many.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Processes of a play, and clients of each.
    #[arg(long, default_value_t = 24)]
    proxies: usize,
    #[arg(long, default_value_t = 2)]
    clients: usize,
    /// Connections that rest before each process: beyond its 256 descriptors they crowd it.
    #[arg(long, default_value_t = 0)]
    crowd: usize,
    /// In which order troubles come: in lanes, or each pair of kinds once, with or without a third beside it.
    #[arg(long, value_enum, default_value_t = Order::Lanes)]
    order: Order,
    /// Kinds of trouble that are played, as `docs/soak.md` names them; all where none is named.
    #[arg(long = "kind", value_parser = kind)]
    kinds: Vec<Kind>,
    /// How long troubles go on in lanes, in seconds.
    #[arg(long, default_value_t = 15)]
    seconds: u64,
}

fn kind(name: &str) -> Result<Kind, String> {
    let known = Kind::ALL.into_iter().find(|kind| format!("{kind:?}") == name);
    known.ok_or_else(|| format!("no kind of trouble: {name:?}, but {:?}", Kind::ALL))
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let mut sound = true;
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        let folder = std::env::temp_dir().join(format!("gradeshunt-soak-{}-{seed}", std::process::id()));
        let mut options = Options::of(&arguments.program, &folder, seed);
        options.proxies = arguments.proxies;
        options.clients_each = arguments.clients;
        options.crowd = arguments.crowd;
        options.schedule = match arguments.order {
            Order::Lanes => Schedule::Lanes,
            Order::Pairs => Schedule::Pairs,
            Order::Triples => Schedule::Triples,
        };
        options.kinds.clone_from(&arguments.kinds);
        options.lasts = Duration::from_secs(arguments.seconds);
        match play(&options) {
            Ok(report) => {
                sound &= report.is_sound();
                print!("{report}");
            }
            Err(e) => {
                eprintln!("seed {seed} could not be played: {e}");
                sound = false;
            }
        }
    }
    if sound {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
