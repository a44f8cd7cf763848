//! Exports as an office has them: folders of files, read piece by piece and reconciled in bounded memory.

use std::fs::File;
use std::io::{BufRead, BufReader, BufWriter, Read, Write};
use std::path::{Path, PathBuf};
use std::sync::Mutex;

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

/// Sessions of one heap, about: so many are held in memory at once by each thread.
const HEAP: u64 = 50_000;
/// Heaps, of each of which every thread has an open file.
const MOST_HEAPS: u64 = 128;
const MOST_THREADS: usize = 4;

/// Does work on several threads, each of which takes what is next until nothing is left.
fn share<T: Send, W: Send>(
    items: impl Iterator<Item = T> + Send,
    workers: Vec<W>,
    work: impl Fn(&mut W, T) -> Result<(), String> + Sync,
) -> Result<Vec<W>, String> {
    let items = Mutex::new(items.fuse());
    let next = || items.lock().ok().and_then(|mut items| items.next());
    let one = |mut worker: W| -> Result<W, String> {
        while let Some(item) = next() {
            work(&mut worker, item)?;
        }
        Ok(worker)
    };
    std::thread::scope(|scope| {
        let threads: Vec<_> = workers.into_iter().map(|worker| scope.spawn(|| one(worker))).collect();
        let joined = threads.into_iter().map(|t| t.join().map_err(|_| "a thread broke off".to_owned())?);
        joined.collect()
    })
}

/// Reconciles all exports in folders. Sessions that may belong together are put aside in files, by who plays what, in as
/// many heaps as make each of them small; each thread looks at one of them at a time.
pub fn reconcile(folders: &[PathBuf], window: Micros, renamed: Renamed) -> Result<Report, String> {
    let all = lies(folders)?;
    let entries = all.iter().map(|l| l.manifest.last.saturating_sub(l.manifest.first)).sum::<u64>();
    let count = (entries / HEAP + 1).min(MOST_HEAPS) as usize;
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get()).min(MOST_THREADS);
    let aside = Aside::new()?;
    let mut whole = Reconciler::new(window, renamed);
    let heaps = |thread: usize| -> Result<Vec<BufWriter<File>>, String> {
        let path = |heap| aside.at(thread, heap);
        (0..count)
            .map(|heap| File::create(path(heap)).map(BufWriter::new).map_err(told(&path(heap))))
            .collect()
    };
    let readers = (0..threads).map(|k| Ok((whole.part(k as u32), heaps(k)?)));
    let readers = readers.collect::<Result<Vec<_>, String>>()?;
    // A gateway's exports follow one another.
    let gateways = all.chunk_by(|a, b| a.manifest.gateway == b.manifest.gateway);
    let readers = share(gateways, readers, |(reconciler, heaps), exports| {
        for one in exports {
            if !reconciler.next(&one.manifest, &one.digest) {
                continue;
            }
            one.read(|entry| {
                let Some(seen) = reconciler.entry(entry) else { return Ok(()) };
                let heap = &mut heaps[seen.heap(count)];
                let kept = serde_json::to_writer(&mut *heap, &seen).map_err(std::io::Error::other);
                kept.and_then(|()| heap.write_all(b"\n")).map_err(told(&aside.folder))
            })?;
        }
        Ok(())
    })?;
    for (reconciler, heaps) in readers {
        whole.merge(reconciler);
        for heap in heaps {
            heap.into_inner().map_err(|why| told(&aside.folder)(why.into_error()))?;
        }
    }
    let lookers = (0..threads).map(|_| whole.part(0)).collect();
    let lookers = share(0..count, lookers, |reconciler, heap| {
        let mut seen: Vec<Seen> = Vec::new();
        for path in (0..threads).map(|thread| aside.at(thread, heap)) {
            for line in BufReader::new(File::open(&path).map_err(told(&path))?).split(b'\n') {
                let one = line.and_then(|line| serde_json::from_slice(&line).map_err(std::io::Error::other));
                seen.push(one.map_err(told(&path))?);
            }
            let _ = std::fs::remove_file(&path);
        }
        reconciler.heap(seen);
        Ok(())
    })?;
    lookers.into_iter().for_each(|looker| whole.merge(looker));
    Ok(whole.finish())
}

/// A folder for what is put aside, gone afterwards.
struct Aside {
    folder: PathBuf,
}

impl Aside {
    fn new() -> Result<Aside, String> {
        let folder = std::env::temp_dir().join(format!("elderpick-{:016x}", rand::random::<u64>()));
        std::fs::create_dir(&folder).map_err(told(&folder))?;
        Ok(Aside { folder })
    }

    fn at(&self, thread: usize, heap: usize) -> PathBuf {
        self.folder.join(format!("{thread}-{heap}"))
    }
}

impl Drop for Aside {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
