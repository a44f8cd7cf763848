//! Scripts of the second review: `review-2 CASE ROOT RECORD`. Exit code 1 if the rule was broken, 0 if it held, 2 if the
//! case could not run. With `TROUBLE=0` in the environment the disruption is left out.

mod asking;
mod cases;
mod gateway;
mod world;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Where a case runs.
pub struct Place {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub record: PathBuf,
    pub trouble: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().skip(1).collect();
    let [case, root, record] = &arguments[..] else {
        eprintln!("usage: review-2 CASE ROOT RECORD");
        return ExitCode::from(2);
    };
    let folder = std::env::temp_dir().join(format!("review-2-{case}-{}", std::process::id()));
    if let Err(why) = std::fs::create_dir_all(&folder) {
        eprintln!("no folder to work in: {why}");
        return ExitCode::from(2);
    }
    let trouble = std::env::var("TROUBLE").is_ok_and(|value| value == "0");
    let place = Place {
        root: Path::new(root).to_owned(),
        folder: folder.clone(),
        record: Path::new(record).to_owned(),
        trouble: !trouble,
    };
    let ended = cases::play(case, &place);
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    match ended {
        Ok(broken) if broken.is_empty() => {
            println!("case {case}: the rule held");
            ExitCode::SUCCESS
        }
        Ok(broken) => {
            println!("case {case}: the rule was broken");
            broken.iter().take(20).for_each(|line| println!("  {line}"));
            ExitCode::from(1)
        }
        Err(why) => {
            println!("case {case}: could not run: {why}");
            ExitCode::from(2)
        }
    }
}
