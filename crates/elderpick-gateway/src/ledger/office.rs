//! Exports as an office has them: folders of files, read piece by piece and reconciled in bounded memory.

use std::fs::File;
use std::io::{BufRead, BufReader, BufWriter, Read, Write};
use std::path::{Path, PathBuf};

use elderpick_ledger::Micros;
use elderpick_ledger::export::{self, Manifest, Reading};
use elderpick_ledger::reconcile::{Reconciler, Renamed, Report, Seen};

use super::told;

/// An export that lies in a folder; its manifest is read, its tables are not.
struct Lies {
    manifest: Manifest,
    digest: String,
    /// The path without an ending.
    stem: String,
}

fn lies(folders: &[PathBuf]) -> Result<Vec<Lies>, String> {
    let mut all = Vec::new();
    for folder in folders {
        let names = std::fs::read_dir(folder).map_err(told(folder))?.filter_map(|f| Some(f.ok()?.path()));
        for path in names.filter(|p| p.to_string_lossy().ends_with(".manifest.json")) {
            let stem = path.to_string_lossy().trim_end_matches(".manifest.json").to_owned();
            let text = std::fs::read(&path).map_err(told(&path))?;
            let (manifest, digest) = export::manifest(&text).map_err(|why| format!("{stem}: {why}"))?;
            all.push(Lies { manifest, digest, stem });
        }
    }
    all.sort_by(|a, b| {
        let key = |l: &Lies| (l.manifest.gateway.clone(), l.manifest.export, l.digest.clone());
        key(a).cmp(&key(b))
    });
    Ok(all)
}

impl Lies {
    /// Gives the entries one by one. They count only if this does not fail.
    fn read(&self, mut take: impl FnMut(export::Entry) -> Result<(), String>) -> Result<(), String> {
        let named = |why: String| format!("{}: {why}", self.stem);
        let mut reading = Reading::new(&self.manifest);
        let path = format!("{}.jsonl", self.stem);
        let mut lines = BufReader::with_capacity(256 << 10, open(&path)?);
        let mut line = Vec::new();
        while lines.read_until(b'\n', &mut line).map_err(told(Path::new(&path)))? > 0 {
            take(reading.line(&line).map_err(named)?)?;
            line.clear();
        }
        let path = format!("{}.csv", self.stem);
        let (mut table, mut chunk) = (open(&path)?, vec![0; 256 << 10]);
        loop {
            match table.read(&mut chunk).map_err(told(Path::new(&path)))? {
                0 => break,
                count => reading.csv(&chunk[..count]),
            }
        }
        reading.finish().map_err(named)
    }
}

fn open(path: &str) -> Result<File, String> {
    File::open(path).map_err(told(Path::new(path)))
}

/// Reads exports from folders, whole.
pub fn exports(folders: &[PathBuf]) -> Result<Vec<export::Export>, String> {
    let mut all = Vec::new();
    for one in lies(folders)? {
        let mut entries = Vec::new();
        one.read(|entry| {
            entries.push(entry);
            Ok(())
        })?;
        all.push(export::Export { manifest: one.manifest, digest: one.digest, entries });
    }
    Ok(all)
}

/// Sessions that are held in memory at once, about: a heap has so many.
const HEAP: u64 = 200_000;
/// Heaps, each an open file.
const MOST_HEAPS: u64 = 256;

/// Reconciles all exports in folders. Sessions that may belong together are put aside in files, by who plays what, in as
/// many heaps as make each of them small; only one is looked at at a time.
pub fn reconcile(folders: &[PathBuf], window: Micros, renamed: Renamed) -> Result<Report, String> {
    let all = lies(folders)?;
    let entries = all.iter().map(|l| l.manifest.last.saturating_sub(l.manifest.first)).sum::<u64>();
    let count = (entries / HEAP + 1).min(MOST_HEAPS) as usize;
    let aside = Aside::new(count)?;
    let mut heaps = aside.files.iter().map(|p| File::create(p).map(BufWriter::new).map_err(told(p)));
    let mut heaps = heaps.by_ref().collect::<Result<Vec<_>, _>>()?;
    let mut reconciler = Reconciler::new(window, renamed);
    for one in &all {
        if !reconciler.next(&one.manifest, &one.digest) {
            continue;
        }
        one.read(|entry| {
            let Some(seen) = reconciler.entry(entry) else { return Ok(()) };
            let heap = seen.heap(count);
            let kept = serde_json::to_writer(&mut heaps[heap], &seen).map_err(std::io::Error::other);
            let kept = kept.and_then(|()| heaps[heap].write_all(b"\n"));
            kept.map_err(told(&aside.files[heap]))
        })?;
    }
    for (heap, path) in heaps.into_iter().zip(&aside.files) {
        heap.into_inner().map_err(|why| told(path)(why.into_error()))?;
        let lines = BufReader::new(File::open(path).map_err(told(path))?).split(b'\n');
        let seen = lines.map(|line| serde_json::from_slice(&line?).map_err(std::io::Error::other));
        reconciler.heap(seen.collect::<Result<Vec<Seen>, _>>().map_err(told(path))?);
        let _ = std::fs::remove_file(path);
    }
    Ok(reconciler.finish())
}

/// Files that are gone afterwards.
struct Aside {
    folder: PathBuf,
    files: Vec<PathBuf>,
}

impl Aside {
    fn new(count: usize) -> Result<Aside, String> {
        let folder = std::env::temp_dir().join(format!("elderpick-{:016x}", rand::random::<u64>()));
        std::fs::create_dir(&folder).map_err(told(&folder))?;
        let files = (0..count).map(|k| folder.join(k.to_string())).collect();
        Ok(Aside { folder, files })
    }
}

impl Drop for Aside {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
