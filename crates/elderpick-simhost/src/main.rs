//! elderpick on the simulator's wire: batches on standard input, replies on standard output.

use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

use elderpick_simhost::Host;

fn main() -> ExitCode {
    match run(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("elderpick-simhost: {fault}");
            ExitCode::FAILURE
        }
    }
}

fn run(mut input: impl BufRead, output: impl Write) -> Result<(), String> {
    let mut output = BufWriter::new(output);
    let mut host = Host::default();
    let mut line = Vec::new();
    for number in 1.. {
        line.clear();
        let read = input.read_until(b'\n', &mut line).map_err(|e| format!("line {number}: {e}"))?;
        if read == 0 {
            break;
        }
        let reply = host.batch(&line).map_err(|e| format!("line {number}: {e}"))?;
        writeln!(output, "{reply}")
            .and_then(|()| output.flush())
            .map_err(|e| format!("line {number}: cannot reply: {e}"))?;
    }
    Ok(())
}
