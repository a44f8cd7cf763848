//! One gateway of the session front.
//!
//! [`engine`] holds the life of sessions without sockets; [`shell`] is its runtime on tokio's current-thread
//! executor; [`host`] speaks to media hosts and [`front`] to viewers. What is decided besides stands in [`door`]
//! (who may connect), [`liveness`] (which host is lost) and [`membership`] (what servers there are). [`entitle`] brings viewers' tokens to
//! the registry of `elderpick-entitle`, [`state`] keeps its log, [`ledger`] writes down use, [`control`] shows operators what it holds.

pub mod config;
pub mod control;
pub mod door;
pub mod engine;
pub mod entitle;
pub mod front;
pub mod host;
pub mod ledger;
pub mod liveness;
mod log_writer;
pub mod membership;
pub mod panics;
pub mod play;
pub mod shell;
mod srt;
pub mod state;

use std::path::Path;

use elderpick_core::Controller;

/// Runs a gateway until SIGTERM or SIGINT, with the product's decision core. `Err` tells a person what is wrong.
pub fn run(settings: &Path) -> Result<(), String> {
    let config = config::Config::open(settings)?;
    let servers = config.open_inventory()?;
    log(&config);
    panics::end_process();
    let core = Controller::new(rand::random(), config.core());
    let engine = engine::Engine::new(core, config, servers);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|why| format!("no runtime: {why}"))?;
    tokio::task::LocalSet::new().block_on(&runtime, shell::serve(engine, shell::WallClock::start(), |_| ()))
}

/// Logs to standard error, as the settings say. A second call changes nothing.
pub fn log(config: &config::Config) {
    log_as(&config.log.level, &config.log.format);
}

/// Logs to standard error at a level, `json` or as text. What that does not take at once is dropped and counted. A second
/// call changes nothing.
pub fn log_as(level: &str, format: &str) {
    use tracing_subscriber::EnvFilter;
    let filter = EnvFilter::new(level);
    let to = tracing_subscriber::fmt().with_env_filter(filter).with_writer(|| log_writer::LogWriter);
    let to = to.with_ansi(std::io::IsTerminal::is_terminal(&std::io::stderr()));
    let _ = match format {
        "json" => to.json().flatten_event(true).try_init(),
        _ => to.with_target(false).try_init(),
    };
}
