//! Segments of the ledger as files.

use std::fs::{File, OpenOptions};
use std::io::{BufRead, BufReader, Write};
use std::ops::ControlFlow;
use std::path::{Path, PathBuf};

use elderpick_ledger::accounts::Record;
use elderpick_ledger::segments::{self, Disk, From, Place};

/// Segments as files, `00000001.jsonl` and on, in a folder.
pub(super) struct Files {
    pub(super) folder: PathBuf,
    /// The last segment, while it is written.
    pub(super) file: Option<(u64, File)>,
}

pub(super) fn told(path: &Path) -> impl Fn(std::io::Error) -> String {
    move |why| format!("{}: {why}", path.display())
}

impl Files {
    pub(super) fn at(&self, segment: u64) -> PathBuf {
        self.folder.join(format!("{segment:08}.jsonl"))
    }

    pub(super) fn open(&mut self, segment: u64) -> std::io::Result<&mut File> {
        if self.file.as_ref().is_none_or(|(number, _)| *number != segment) {
            let file = OpenOptions::new().append(true).open(self.at(segment))?;
            self.file = Some((segment, file));
        }
        self.file.as_mut().map(|(_, file)| file).ok_or_else(|| std::io::Error::other("no segment"))
    }
}

impl Disk for Files {
    type Error = std::io::Error;

    fn begin(&mut self, segment: u64) -> std::io::Result<()> {
        let path = self.at(segment);
        self.file = None;
        OpenOptions::new().create(true).write(true).truncate(true).open(path)?.sync_all()?;
        File::open(&self.folder)?.sync_all()
    }

    fn append(&mut self, segment: u64, bytes: &[u8]) -> std::io::Result<()> {
        self.open(segment)?.write_all(bytes)
    }

    fn sync(&mut self, segment: u64) -> std::io::Result<()> {
        self.open(segment)?.sync_data()
    }

    fn cut(&mut self, segment: u64, length: u64) -> std::io::Result<()> {
        self.file = None;
        let file = OpenOptions::new().write(true).open(self.at(segment))?;
        file.set_len(length)?;
        file.sync_all()
    }

    fn remove(&mut self, segment: u64) -> std::io::Result<()> {
        std::fs::remove_file(self.at(segment))
    }

    fn read(&self, segment: u64) -> std::io::Result<Vec<u8>> {
        std::fs::read(self.at(segment))
    }

    fn head(&self, segment: u64) -> std::io::Result<Vec<u8>> {
        let mut line = Vec::new();
        BufReader::new(File::open(self.at(segment))?).read_until(b'\n', &mut line)?;
        Ok(line)
    }

    fn segments(&self) -> std::io::Result<Vec<(u64, u64)>> {
        let mut all = Vec::new();
        for file in std::fs::read_dir(&self.folder)? {
            let file = file?;
            let name = file.file_name();
            let number = name.to_str().and_then(|n| n.strip_suffix(".jsonl")?.parse().ok());
            if let Some(number) = number {
                // One that was let go meanwhile is not there any more.
                all.extend(file.metadata().ok().map(|m| (number, m.len())));
            }
        }
        all.sort_unstable();
        Ok(all)
    }
}

/// Reads records in order, from a place on and as long as they are wanted.
pub(super) fn read(
    folder: &Path,
    gateway: &str,
    from: From,
    mut take: impl FnMut(&Record) -> ControlFlow<()>,
) -> Result<Place, String> {
    let files = Files { folder: folder.to_owned(), file: None };
    let read = segments::read(&files, gateway, from, |record| take(record).is_continue());
    read.map_err(|why| format!("{}: {why}", folder.display()))
}
