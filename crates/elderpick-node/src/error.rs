//! Why a gateway does not run, and the configuration that it reads.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use elderpick_platform::boot::{Boot, BootError};
use thiserror::Error;

/// Why a gateway does not run.
#[derive(Error, Debug)]
pub enum RunError {
    /// The configuration file cannot be read.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// The configuration cannot be used.
    #[error("{}: {source}", path.display())]
    Configuration {
        /// The file.
        path: PathBuf,
        /// The field that is wrong.
        source: Box<BootError>,
    },
    /// The system has no resources for the runtime.
    #[error("no runtime: {0}")]
    Runtime(io::Error),
    /// The system does not let signals be handled.
    #[error("no signals: {0}")]
    Signals(io::Error),
    /// The address cannot be listened on.
    #[error("listen: cannot listen on {address}: {source}")]
    Listen {
        /// The address of the configuration.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
}

/// Reads a configuration file.
pub(crate) fn read(path: &Path) -> Result<Boot, RunError> {
    let text = std::fs::read(path).map_err(|source| RunError::File { path: path.to_owned(), source })?;
    Boot::parse(&text).map_err(|why| unusable(path, why))
}

pub(crate) fn unusable(path: &Path, why: impl Into<BootError>) -> RunError {
    RunError::Configuration { path: path.to_owned(), source: Box::new(why.into()) }
}
