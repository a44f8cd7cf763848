//! A session's playlists while it plays: which rung is listed, how much of it, how long the session is held.
//!
//! kind: decisions

use std::collections::BTreeMap;
use std::sync::Arc;

use elderpick_core::api::Micros;
use elderpick_hls::{Fault, Limits, Media, Multivariant, Part, Reveal, Shaped, Timeline};
use url::Url;

use crate::config;
use crate::engine::Token;

/// What is needed to answer a request for one of a session's playlists.
pub struct Play {
    multi: Multivariant,
    /// Bits a second of each rung.
    ladder: Vec<u64>,
    main: Timeline,
    /// Lists that have ended do not change: they are kept, by part and variant.
    ended: BTreeMap<(usize, usize), Arc<Media>>,
    began: Micros,
    lead: Micros,
    /// When all was listed, and how long it plays from then.
    listed: Option<(Micros, Micros)>,
    limits: Limits,
}

/// One playlist to fetch from the host.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Wanted {
    key: (usize, usize),
    rung: usize,
    pub uri: Url,
}

fn path(token: Token, part: Part) -> String {
    match part {
        Part::Main => format!("/s/{token}/main.m3u8"),
        Part::Rendition(k) => format!("/s/{token}/{k}.m3u8"),
    }
}

impl Play {
    pub fn new(
        base: &Url,
        manifest: &[u8],
        rung: usize,
        ladder: Vec<u64>,
        limits: &config::Limits,
        now: Micros,
    ) -> Result<Play, Fault> {
        let bounds = Limits { bytes: limits.playlist, ..Limits::default() };
        let multi = Multivariant::parse(manifest, base, bounds)?;
        // The gateway fetches these itself: a host may not send it anywhere else.
        let mut uris = multi.variants.iter().map(|v| &v.uri).chain(multi.renditions.iter().map(|r| &r.uri));
        if let Some(uri) = uris.find(|uri| uri.origin() != base.origin()) {
            return Err(Fault { line: 0, what: format!("{uri} is not at the host that was chosen") });
        }
        Ok(Play {
            multi,
            ladder,
            main: Timeline::new(rung),
            ended: BTreeMap::new(),
            began: now,
            lead: limits.lead,
            listed: None,
            limits: bounds,
        })
    }

    /// The multivariant playlist with the rung in force.
    pub fn manifest(&self, token: Token) -> String {
        let variant = self.multi.variant_for(self.main.rung(), &self.ladder);
        self.multi.for_session(variant, |part| path(token, part))
    }

    pub fn change(&mut self, rung: usize) {
        self.main.change(rung);
    }

    /// The place of a part by the name in its URI.
    pub fn part(&self, name: &str) -> Option<Part> {
        match name.strip_suffix(".m3u8")? {
            "main" => Some(Part::Main),
            k => k.parse().ok().filter(|&k| k < self.multi.renditions.len()).map(Part::Rendition),
        }
    }

    /// What must be fetched for a part. `query` holds the viewer's delivery directives.
    pub fn wanted(&self, part: Part, query: Option<&str>) -> Vec<Wanted> {
        let all = match part {
            Part::Main => self.main.rungs_from(0),
            Part::Rendition(_) => vec![0],
        };
        let wanted = all.into_iter().map(|rung| match part {
            Part::Main => {
                let variant = self.multi.variant_for(rung, &self.ladder);
                let uri = self.multi.variants[variant].uri.clone();
                Wanted { key: (usize::MAX, variant), rung, uri }
            }
            Part::Rendition(k) => Wanted { key: (k, 0), rung, uri: self.multi.renditions[k].uri.clone() },
        });
        let wanted = wanted.filter(|w| !self.ended.contains_key(&w.key));
        let directed = wanted.map(|mut w| {
            let directives = query.unwrap_or_default().split('&');
            for one in directives.filter(|d| d.starts_with("_HLS_msn=") || d.starts_with("_HLS_part=")) {
                if let Some((name, value)) = one.split_once('=').filter(|(_, v)| v.len() < 20) {
                    w.uri.query_pairs_mut().append_pair(name, value);
                }
            }
            w
        });
        directed.collect()
    }

    /// The playlist of a part, made of what was fetched.
    pub fn shape(
        &mut self,
        now: Micros,
        part: Part,
        fetched: Vec<(Wanted, bytes::Bytes)>,
    ) -> Result<Shaped, Fault> {
        let mut live: BTreeMap<(usize, usize), Arc<Media>> = BTreeMap::new();
        for (wanted, text) in fetched {
            let media = Arc::new(Media::parse(&text, &wanted.uri, &self.multi.variables, self.limits)?);
            if media.ended { &mut self.ended } else { &mut live }.insert(wanted.key, media);
        }
        let find = |key: (usize, usize)| live.get(&key).or_else(|| self.ended.get(&key)).cloned();
        let mut of: BTreeMap<usize, Arc<Media>> = BTreeMap::new();
        match part {
            Part::Main => {
                for rung in self.main.rungs_from(0) {
                    let variant = self.multi.variant_for(rung, &self.ladder);
                    of.extend(find((usize::MAX, variant)).map(|media| (rung, media)));
                }
            }
            Part::Rendition(k) => of.extend(find((k, 0)).map(|media| (0, media))),
        }
        let of: BTreeMap<usize, &Media> = of.iter().map(|(rung, media)| (*rung, &**media)).collect();
        let reveal = Reveal::Until(now - self.began + self.lead);
        let shaped = match part {
            Part::Main => self.main.shape(&of, reveal),
            Part::Rendition(k) if self.multi.renditions[k].iframes => {
                Timeline::new(0).shape(&of, Reveal::All)
            }
            Part::Rendition(_) => Timeline::new(0).shape(&of, reveal),
        };
        let shaped = shaped.ok_or(Fault { line: 0, what: "the rung in force has no playlist".into() })?;
        if part == Part::Main && shaped.ended && self.listed.is_none() {
            let length = of.values().map(|m| m.duration()).max().unwrap_or(0);
            self.listed = Some((now, (self.began + length - now).max(0)));
        }
        Ok(shaped)
    }

    /// Until when the session is held if its viewer asks for nothing more. What was listed whole is played to its end
    /// without another playlist.
    pub fn wanted_until(&self, seen: Micros, limits: &config::Limits) -> Micros {
        let plays = self.listed.map_or(Micros::MIN, |(at, left)| at + left);
        seen.max(plays) + limits.silence
    }
}
