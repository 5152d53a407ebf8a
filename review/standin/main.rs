//! Plays a case of the review: `standin CASE FOLDER`. Exits with 1 if the rule was broken, 0 if it
//! held and 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod crowd;
mod false_refusal;
mod gateway;
mod http;
mod json;
mod record;
mod runner;
mod store;

use record::Record;
use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = &arguments[..] else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let temporary = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    let played = std::fs::create_dir_all(&temporary).and_then(|()| {
        let record = Record::new(&PathBuf::from(folder).join("record.txt"))?;
        match case.as_str() {
            "crowd" => crowd::play(&record, &temporary, has_trouble),
            "false_refusal" => false_refusal::play(&record, &temporary, has_trouble),
            _ => Err(std::io::Error::other(format!("no case {case}"))),
        }
    });
    let _ = std::fs::remove_dir_all(&temporary);
    match played {
        Ok(false) => ExitCode::SUCCESS,
        Ok(true) => ExitCode::from(1),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
