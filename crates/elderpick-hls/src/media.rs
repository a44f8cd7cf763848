//! Media playlists.

use std::sync::Arc;

use url::Url;

use crate::line::{Fault, Limits, Variables, attribute, fault, lines, tag};

/// One media segment, with all that is needed to play it by itself.
#[derive(Clone, PartialEq, Debug)]
pub struct Segment {
    /// Duration in microseconds.
    pub duration: i64,
    /// Its absolute URI.
    pub uri: String,
    /// It follows a discontinuity.
    pub discontinuity: bool,
    /// Its other tags, as they were but for URIs made absolute and byte ranges given in full.
    pub(crate) tags: Vec<String>,
    /// EXT-X-KEY lines in force, one for each key format.
    pub(crate) keys: Arc<[String]>,
    /// The EXT-X-MAP line in force.
    pub(crate) map: Option<Arc<str>>,
}

/// A media playlist as a media host gave it, its URIs absolute.
#[derive(Clone, PartialEq, Debug)]
pub struct Media {
    /// Target duration in microseconds.
    pub target: i64,
    /// Media sequence number of the first segment.
    pub first: u64,
    /// The discontinuity sequence number of the first segment.
    pub discontinuities: u64,
    /// No segment will be added.
    pub ended: bool,
    /// It holds I-frames alone.
    pub iframes: bool,
    /// The segments, in order.
    pub segments: Vec<Segment>,
    /// Tags of the whole playlist, without those that are worked out anew.
    pub(crate) head: Vec<String>,
    /// What follows the last segment: parts, hints, reports.
    pub(crate) tail: Vec<String>,
    pub(crate) starts: bool,
}

/// Tags that apply to the segment after them.
const OF_SEGMENT: [&str; 6] = [
    "#EXT-X-PROGRAM-DATE-TIME",
    "#EXT-X-GAP",
    "#EXT-X-BITRATE",
    "#EXT-X-PART",
    "#EXT-X-DATERANGE",
    "#EXT-X-SKIP",
];

impl Media {
    /// Reads a playlist that was loaded from `base`, under a multivariant one that set `imported`.
    pub fn parse(text: &[u8], base: &Url, imported: &Variables, limits: Limits) -> Result<Self, Fault> {
        let mut out = Media {
            target: 0,
            first: 0,
            discontinuities: 0,
            ended: false,
            iframes: false,
            segments: Vec::new(),
            head: Vec::new(),
            tail: Vec::new(),
            starts: false,
        };
        let mut vars = Variables::default();
        let mut keys: Arc<[String]> = Arc::new([]);
        let mut map: Option<Arc<str>> = None;
        let mut tags: Vec<String> = Vec::new();
        let (mut duration, mut discontinuity, mut in_head) = (None, false, true);
        let mut last_keyed = 0;
        let mut range: Option<(u64, Option<u64>)> = None;
        let mut ranged: Option<(String, u64)> = None;
        for (n, line) in lines(text, limits)?.into_iter().skip(1) {
            let number = |value: &str| -> Result<u64, Fault> {
                value.trim().parse().or_else(|_| fault(n, format!("{value:?} is no whole number")))
            };
            if !line.starts_with('#') {
                let Some(length) = duration.take() else { return fault(n, "a segment without EXTINF") };
                let uri = String::from(vars.resolve(n, base, line)?);
                match range.take() {
                    Some((size, from)) => {
                        let follows = ranged.as_ref().filter(|(of, _)| *of == uri).map(|(_, end)| *end);
                        let Some(from) = from.or(follows) else {
                            return fault(
                                n,
                                "EXT-X-BYTERANGE without an offset follows no range of this resource",
                            );
                        };
                        let Some(end) = from.checked_add(size) else {
                            return fault(n, "EXT-X-BYTERANGE ends beyond all bounds");
                        };
                        tags.push(format!("#EXT-X-BYTERANGE:{size}@{from}"));
                        ranged = Some((uri.clone(), end));
                    }
                    None => ranged = None,
                }
                out.segments.push(Segment {
                    duration: length,
                    uri,
                    discontinuity: std::mem::take(&mut discontinuity),
                    tags: std::mem::take(&mut tags),
                    keys: keys.clone(),
                    map: map.clone(),
                });
                continue;
            }
            if let Some(value) = tag(line, "#EXTINF") {
                let (seconds, _) = value.split_once(',').unwrap_or((value, ""));
                let seconds = seconds.trim().parse::<f64>().ok().filter(|s| (0.0..1e6).contains(s));
                let Some(seconds) = seconds else { return fault(n, "EXTINF without a duration") };
                duration = Some((seconds * 1e6).round() as i64);
                tags.push(line.to_owned());
                in_head = false;
            } else if let Some(value) = tag(line, "#EXT-X-TARGETDURATION") {
                out.target = number(value)?.min(1_000_000) as i64 * 1_000_000;
            } else if let Some(value) = tag(line, "#EXT-X-MEDIA-SEQUENCE") {
                out.first = number(value)?;
            } else if let Some(value) = tag(line, "#EXT-X-DISCONTINUITY-SEQUENCE") {
                out.discontinuities = number(value)?;
            } else if tag(line, "#EXT-X-DISCONTINUITY").is_some() {
                (discontinuity, in_head) = (true, false);
            } else if tag(line, "#EXT-X-ENDLIST").is_some() {
                out.ended = true;
            } else if tag(line, "#EXT-X-PLAYLIST-TYPE").is_some() {
                // Worked out anew: a list that grows for its session is an EVENT.
            } else if tag(line, "#EXT-X-I-FRAMES-ONLY").is_some() {
                out.iframes = true;
                out.head.push(line.to_owned());
            } else if tag(line, "#EXT-X-START").is_some() {
                out.starts = true;
                out.head.push(line.to_owned());
            } else if let Some(list) = tag(line, "#EXT-X-DEFINE") {
                out.head.push(vars.define(n, list, imported, base)?);
            } else if let Some(list) = tag(line, "#EXT-X-SERVER-CONTROL") {
                // Delta updates would be deltas of the host's list, not of the session's.
                let kept = list.split(',').filter(|a| !a.trim_start().starts_with("CAN-SKIP"));
                let kept = kept.collect::<Vec<_>>().join(",");
                if !kept.is_empty() {
                    out.head.push(format!("#EXT-X-SERVER-CONTROL:{kept}"));
                }
            } else if let Some(value) = tag(line, "#EXT-X-BYTERANGE") {
                let (size, from) = match value.split_once('@') {
                    Some((size, from)) => (number(size)?, Some(number(from)?)),
                    None => (number(value)?, None),
                };
                (range, in_head) = (Some((size, from)), false);
            } else if let Some(list) = tag(line, "#EXT-X-KEY") {
                // Several in a row are the same key for several formats; one after a segment replaces them.
                let none = attribute(list, "METHOD") == Some("NONE");
                let list = format!("#EXT-X-KEY:{}", vars.absolute(n, base, list)?);
                let fresh = last_keyed != out.segments.len() || keys.is_empty();
                let mut now = if fresh { Vec::new() } else { keys.to_vec() };
                now.push(list);
                last_keyed = out.segments.len();
                if none {
                    now.clear();
                }
                (keys, in_head) = (now.into(), false);
            } else if let Some(list) = tag(line, "#EXT-X-MAP") {
                map = Some(format!("#EXT-X-MAP:{}", vars.absolute(n, base, list)?).into());
                in_head = false;
            } else if tag(line, "#EXT-X-STREAM-INF").is_some() {
                return fault(n, "a multivariant playlist where a media one is wanted");
            } else if let Some((name, list)) =
                line.split_once(':').filter(|(name, _)| name.starts_with("#EXT"))
            {
                let line = match attribute(list, "URI") {
                    Some(_) => format!("{name}:{}", vars.absolute(n, base, list)?),
                    None => line.to_owned(),
                };
                in_head &= !OF_SEGMENT.contains(&name);
                if in_head { &mut out.head } else { &mut tags }.push(line);
            } else {
                in_head &= !OF_SEGMENT.contains(&line);
                if in_head { &mut out.head } else { &mut tags }.push(line.to_owned());
            }
        }
        if out.target == 0 {
            return fault(0, "no EXT-X-TARGETDURATION");
        }
        if duration.is_some() {
            return fault(0, "EXTINF is not followed by a URI");
        }
        out.tail = tags;
        Ok(out)
    }

    /// Media sequence number after the last segment.
    pub fn end(&self) -> u64 {
        self.first.saturating_add(self.segments.len() as u64)
    }

    /// A segment by its media sequence number.
    pub fn segment(&self, number: u64) -> Option<&Segment> {
        self.segments.get(usize::try_from(number.checked_sub(self.first)?).ok()?)
    }

    /// Duration of all segments, in microseconds.
    pub fn duration(&self) -> i64 {
        self.segments.iter().map(|s| s.duration).sum()
    }
}
