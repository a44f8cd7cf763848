//! The rungs of one session over its media sequence numbers.
//!
//! kind: decisions

use std::collections::BTreeMap;

use crate::media::{Media, Segment};

/// How much of a list that has ended is shown.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Reveal {
    /// All of it.
    All,
    /// Segments that begin within so many microseconds of the first, and one at least. The list grows, so that a
    /// change of rung reaches the viewer with the next segments.
    Until(i64),
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
struct Step {
    from: u64,
    rung: usize,
    /// The segment at `from` has no discontinuity of its own: one was put there.
    put: Option<bool>,
}

/// Which rung each media sequence number of a session plays at. What has been listed once keeps its rung, since
/// playlists may only grow.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Timeline {
    steps: Vec<Step>,
    /// The number after the last that was listed.
    listed: Option<u64>,
    /// Discontinuities put before the first step that is still kept.
    dropped: u64,
}

/// A playlist made for a session.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Shaped {
    /// The playlist as the viewer gets it.
    pub text: String,
    /// Every segment is listed, and none will follow.
    pub ended: bool,
}

impl Timeline {
    /// A session that plays at this rung from its first segment.
    pub fn new(rung: usize) -> Self {
        Timeline { steps: vec![Step { from: 0, rung, put: None }], listed: None, dropped: 0 }
    }

    /// The rung of what will be listed next.
    pub fn rung(&self) -> usize {
        self.steps.last().map_or(0, |s| s.rung)
    }

    /// Plays at `rung` from the first segment that was not yet listed.
    pub fn change(&mut self, rung: usize) {
        let from = self.listed.unwrap_or(0);
        match self.steps.last_mut() {
            Some(last) if last.from >= from => last.rung = rung,
            Some(last) if last.rung == rung => {}
            _ => self.steps.push(Step { from, rung, put: None }),
        }
        // Changing there and back before anything is listed is no change.
        if let [.., before, last] = self.steps[..]
            && before.rung == last.rung
        {
            self.steps.pop();
        }
    }

    /// Rungs whose playlists are needed to list what lies from `first` on.
    pub fn rungs_from(&self, first: u64) -> Vec<usize> {
        let mut rungs: Vec<usize> = (0..self.steps.len())
            .filter(|&k| self.steps.get(k + 1).is_none_or(|next| next.from > first))
            .map(|k| self.steps[k].rung)
            .collect();
        rungs.sort_unstable();
        rungs.dedup();
        rungs
    }

    fn step_at(&self, number: u64) -> usize {
        self.steps.partition_point(|s| s.from <= number).saturating_sub(1)
    }

    /// Lists a session's segments, each from the playlist of its rung; where one is absent, from that of the rung in
    /// force. `None` when the playlist of the rung in force is not there.
    pub fn shape(&mut self, of: &BTreeMap<usize, &Media>, reveal: Reveal) -> Option<Shaped> {
        let main = *of.get(&self.rung())?;
        let mut end = main.end();
        if let (Reveal::Until(until), true) = (reveal, main.ended) {
            let mut begins = 0;
            let shown = main.segments.iter().take_while(|s| {
                let shown = begins <= until;
                begins += s.duration;
                shown
            });
            end = main.first + shown.count().max(1).min(main.segments.len()) as u64;
            end = end.max(self.listed.unwrap_or(0)).min(main.end());
        }
        let ended = main.ended && end == main.end();
        self.drop_before(main.first);
        let mut lines = Vec::new();
        let mut before: Option<(&Segment, usize)> = None;
        for number in main.first..end {
            let at = self.step_at(number);
            let own = of.get(&self.steps[at].rung).and_then(|m| m.segment(number));
            let Some(segment) = own.or_else(|| main.segment(number)) else { break };
            let changed = number == self.steps[at].from && at > 0;
            if changed {
                self.steps[at].put = Some(!segment.discontinuity);
            }
            let fresh = segment.discontinuity || (changed && number > main.first);
            if fresh {
                lines.push("#EXT-X-DISCONTINUITY".to_owned());
            }
            let (keys, map) = match before {
                Some((s, _)) => (Some(&s.keys), s.map.as_ref()),
                None => (None, None),
            };
            if keys.map_or(!segment.keys.is_empty(), |keys| *keys != segment.keys) {
                if segment.keys.is_empty() {
                    lines.push("#EXT-X-KEY:METHOD=NONE".to_owned());
                }
                lines.extend(segment.keys.iter().cloned());
            }
            if let Some(map_now) = segment.map.as_ref().filter(|m| fresh || Some(*m) != map) {
                lines.push(map_now.to_string());
            }
            lines.extend(segment.tags.iter().cloned());
            lines.push(segment.uri.clone());
            before = Some((segment, at));
        }
        self.listed = Some(end.max(self.listed.unwrap_or(0)));
        // A discontinuity before the first segment listed has left the list and counts.
        let left = self.steps.iter().skip(1).filter(|s| s.from <= main.first && s.put == Some(true)).count();
        let sequence = main.discontinuities + self.dropped + left as u64;
        let mut text = String::from("#EXTM3U\n");
        for line in &main.head {
            text.push_str(line);
            text.push('\n');
        }
        if matches!(reveal, Reveal::Until(_)) && main.ended && !main.starts {
            text.push_str("#EXT-X-START:TIME-OFFSET=0,PRECISE=YES\n");
        }
        text.push_str(&format!("#EXT-X-TARGETDURATION:{}\n", main.target / 1_000_000));
        text.push_str(&format!("#EXT-X-MEDIA-SEQUENCE:{}\n", main.first));
        if sequence > 0 {
            text.push_str(&format!("#EXT-X-DISCONTINUITY-SEQUENCE:{sequence}\n"));
        }
        if main.ended {
            text.push_str(match reveal {
                Reveal::All => "#EXT-X-PLAYLIST-TYPE:VOD\n",
                Reveal::Until(_) => "#EXT-X-PLAYLIST-TYPE:EVENT\n",
            });
        }
        let tail = if end == main.end() { &main.tail[..] } else { &[] };
        for line in lines.iter().chain(tail) {
            text.push_str(line);
            text.push('\n');
        }
        if ended {
            text.push_str("#EXT-X-ENDLIST\n");
        }
        Some(Shaped { text, ended })
    }

    /// Forgets steps that lie wholly before the window, so that a long live session stays small.
    fn drop_before(&mut self, first: u64) {
        while self.steps.len() > 1 && self.steps[1].from < first {
            self.dropped += u64::from(self.steps[1].put == Some(true));
            self.steps.remove(0);
            // What was put at this step has been counted.
            self.steps[0].put = None;
        }
    }
}
