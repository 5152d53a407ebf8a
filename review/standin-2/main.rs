//! Stand-ins for the platform, its store, the runners and the clients of the scripts in `review/6` and
//! above. Only the standard library is used.
//!
//! Usage: `standin SCENARIO FOLDER`, from the root of the repository. The scenario writes `record.txt` in
//! its folder. Exit code 0: the rule held; 1: it was broken; 2: the case could not run.

mod clients;
mod crashing;
mod platform;
mod record;
mod runner;
mod scenarios;
mod store;

use std::process::ExitCode;

fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let (Some(scenario), Some(folder)) = (words.next(), words.next()) else {
        eprintln!("usage: standin SCENARIO FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    match scenarios::run(&scenario, &folder, has_trouble) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
