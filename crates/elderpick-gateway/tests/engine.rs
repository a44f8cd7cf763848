//! The life of sessions under any order of events, with the real decision core and no sockets.

use std::collections::{BTreeMap, BTreeSet};

use elderpick_core::Controller;
use elderpick_core::api::{ListKind, Micros, Report, RequestId, ServerId, ServerState, Status};
use elderpick_gateway::config::Config;
use elderpick_gateway::engine::{
    Answer, Ask, Engine, Input, Output, Said, SetUp, Token, Via, Viewer, Wanted, Word,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SETTINGS: &str = r#"
me: 0, gateways: 1, listen: "127.0.0.1:0", zone: "z", zones: ["z"], kinds: [{name: "std", places: 20}]
ladder: [{rate: "20kB/s", worth: 0.5}, {rate: "40kB/s", worth: 1}]
classes: [
    {name: "zoom", aim: "800ms", patience: "2s", floor: 1},
    {name: "exam", aim: "800ms", patience: "2s", effect: "paid", seats: 2},
]
inventory: "FILE", list: address: "127.0.0.1:1", links: "600kB/s"
cold: {warm_up: "10s", least: 0.1, multiple: 2, window: "1s"}
budget: {free: 4, share: 0.3, window: "5s"}
"#;
const MANIFEST: &[u8] =
    b"#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=160000\nr0.m3u8\n#EXT-X-STREAM-INF:BANDWIDTH=320000\nr1.m3u8\n";

struct Bed {
    engine: Engine<Controller>,
    now: Micros,
    out: Vec<Output>,
    next: u128,
}

impl Bed {
    fn new(seed: u64) -> Bed {
        let file = std::env::temp_dir().join(format!("elderpick-engine-{}-{seed}.csv", std::process::id()));
        let rows: Vec<String> = (0..4).map(|k| format!("box-{k},127.0.0.1:{},z,std,0", 9000 + k)).collect();
        std::fs::write(&file, format!("id,address,zone,kind,cell\n{}\n", rows.join("\n"))).unwrap();
        let config = Config::read("s", &SETTINGS.replace("FILE", file.to_str().unwrap())).unwrap();
        let servers = config.open_inventory().unwrap();
        let _ = std::fs::remove_file(file);
        let core = Controller::new(seed, config.core());
        let mut bed =
            Bed { engine: Engine::new(core, config, servers), now: 1_000_000_000, out: Vec::new(), next: 0 };
        let up = (0..4).map(|k| (format!("box-{k}"), ServerState::Up, Some(1)));
        bed.feed(Input::List { kind: ListKind::Full, servers: up.collect() });
        bed
    }

    fn feed(&mut self, input: Input) -> Vec<Output> {
        self.engine.handle(self.now, input, &mut self.out);
        std::mem::take(&mut self.out)
    }

    fn ask(&mut self, ask: Ask, class: usize, sid: Option<u32>) -> Vec<Output> {
        self.next += 2;
        let viewer = sid.map(|sid| Viewer { from: [127, 0, 0, 1].into(), sid: sid.to_string() });
        let title = "carex".to_owned();
        let wanted = Wanted {
            via: Via::Hls,
            class,
            title,
            viewer,
            seated: None,
            payer: Default::default(),
            came: self.now,
            top_bits: None,
            trace: None,
        };
        let (token, alias) = (Token(self.next), Token(self.next + 1));
        self.feed(Input::Ask { ask, wanted, token, alias })
    }
}

fn plays() -> SetUp {
    let base = url::Url::parse("http://127.0.0.1:9000/s/1/main.m3u8").unwrap();
    SetUp::Plays { base, manifest: MANIFEST.into() }
}

fn sent(out: &[Output]) -> Option<(RequestId, usize, ServerId)> {
    out.iter().find_map(|o| match o {
        Output::SetUp { id, attempt, server, .. } => Some((*id, *attempt, server.clone())),
        _ => None,
    })
}

fn answers(out: &[Output]) -> Vec<(Ask, Answer)> {
    let answers = out.iter().filter_map(|o| match o {
        Output::Answer { ask, answer } => Some((*ask, answer.clone())),
        _ => None,
    });
    answers.collect()
}

#[test]
fn an_attempt_out_of_time_is_closed_and_released_before_the_next_goes_out() {
    let mut bed = Bed::new(1);
    let (id, attempt, first) = sent(&bed.ask(1, 0, None)).unwrap();
    bed.now = bed.engine.next_timer().unwrap();
    let out = bed.feed(Input::Tick);
    let at = |wanted: &dyn Fn(&Output) -> bool| out.iter().position(wanted).unwrap();
    let cancel = at(&|o| matches!(o, Output::Cancel { id: i, attempt: a } if (*i, *a) == (id, attempt)));
    let release = at(&|o| matches!(o, Output::Release { id: None, server, .. } if *server == first));
    let again = at(&|o| matches!(o, Output::SetUp { server, .. } if *server != first));
    assert!(cancel < release && release < again);
    // The late answer of the first attempt counts for nothing.
    let result = plays();
    assert!(bed.feed(Input::SetUp { id, attempt, result, report: Report::default() }).is_empty());
}

#[test]
fn a_drain_between_the_pick_and_the_send_holds_the_send_back() {
    let mut bed = Bed::new(2);
    let (id, attempt, server) = sent(&bed.ask(1, 1, None)).unwrap();
    assert!(bed.engine.may_write(&server));
    let servers = vec![(server.0.to_string(), ServerState::Draining, None)];
    bed.feed(Input::List { kind: ListKind::Changes, servers });
    assert!(!bed.engine.may_write(&server));
    // Withdrawn, it never ran: even a paid class goes elsewhere.
    let result = SetUp::Failed(Status::Ignored);
    let out = bed.feed(Input::SetUp { id, attempt, result, report: Report::default() });
    assert!(sent(&out).is_some_and(|(_, _, to)| to != server));
}

#[test]
fn nothing_is_written_to_a_server_before_it_has_said_which_process_it_is() {
    let mut bed = Bed::new(8);
    let (_, _, server) = sent(&bed.ask(1, 0, None)).unwrap();
    let falls = bed.engine.falls(&server);
    let said = |bed: &mut Bed, said| {
        bed.feed(Input::Said { server: server.clone(), said });
        bed.engine.word(&server, falls)
    };
    assert_eq!(bed.engine.word(&server, falls), Word::Wait);
    assert_eq!(said(&mut bed, Said::Began(7)), Word::Write);
    assert_eq!(said(&mut bed, Said::Broke), Word::Wait);
    assert_eq!(said(&mut bed, Said::Began(7)), Word::Write);
    // It is another process: what was decided on the old one never ran, whatever is heard afterwards.
    assert_eq!((said(&mut bed, Said::Broke), said(&mut bed, Said::Lost)), (Word::Wait, Word::Lost));
    assert_eq!(said(&mut bed, Said::Began(9)), Word::Lost);
}

#[test]
fn a_server_that_says_that_it_just_began_takes_set_ups_at_the_cold_pace_though_the_list_is_late() {
    let mut bed = Bed::new(9);
    let all: Vec<_> = bed.engine.members.entries().into_iter().map(|e| e.server).collect();
    assert!(
        all.iter().all(|s| bed.engine.word(s, 0) == Word::Wait),
        "all that the list names are listened to"
    );
    let sent_of = |bed: &mut Bed, first: u64| {
        (first..first + 40).filter(|&ask| sent(&bed.ask(ask, 0, None)).is_some()).count()
    };
    let warm = sent_of(&mut bed, 100);
    for server in &all {
        let began = bed.now;
        bed.feed(Input::Said { server: server.clone(), said: Said::Began(began) });
    }
    let cold = sent_of(&mut bed, 200);
    assert!(warm > 4 * cold.max(1), "{warm} warm, {cold} cold");
}

#[test]
fn a_seat_is_free_only_when_the_host_has_let_the_session_go() {
    let mut bed = Bed::new(3);
    let mut held = Vec::new();
    for ask in 0..2 {
        let (id, attempt, _) = sent(&bed.ask(ask, 1, None)).unwrap();
        let out = bed.feed(Input::SetUp { id, attempt, result: plays(), report: Report::default() });
        let Some((_, Answer::Plays { token, .. })) = answers(&out).pop() else { panic!("{out:?}") };
        held.push((id, token));
    }
    let refused = |out: &[Output]| matches!(answers(out)[..], [(_, Answer::Refused { .. })]);
    assert!(refused(&bed.ask(10, 1, None)));
    let out = bed.feed(Input::Leave { token: held[0].1 });
    assert!(out.iter().any(|o| matches!(o, Output::Release { id: Some(id), .. } if *id == held[0].0)));
    assert!(refused(&bed.ask(11, 1, None)), "the host may hold it still");
    bed.feed(Input::Released { id: held[0].0, bytes: None });
    assert!(sent(&bed.ask(12, 1, None)).is_some());
}

#[test]
fn a_seat_whose_set_up_failed_and_may_have_run_is_free_only_when_the_host_has_let_go() {
    let mut bed = Bed::new(10);
    let exam = 1;
    let (first, attempt, _) = sent(&bed.ask(1, exam, None)).unwrap();
    let (second, ..) = sent(&bed.ask(2, exam, None)).unwrap();
    let result = SetUp::Failed(Status::Reset);
    let out = bed.feed(Input::SetUp { id: first, attempt, result, report: Report::default() });
    assert!(out.iter().any(|o| matches!(o, Output::Release { id: Some(id), .. } if *id == first)));
    assert!(answers(&out).is_empty(), "its answer waits for the host's, and for the class's time at most");
    let refused = |out: &[Output]| matches!(answers(out)[..], [(_, Answer::Refused { .. })]);
    assert!(refused(&bed.ask(3, exam, None)), "both seats count");
    let out = bed.feed(Input::Released { id: first, bytes: None });
    // Paid, and it may have run: never again, and no refusal.
    assert!(matches!(answers(&out)[..], [(1, Answer::Failed { .. })]), "{out:?}");
    let (third, attempt, _) = sent(&bed.ask(4, exam, None)).unwrap();
    // A host that does not answer holds up no viewer: its time ends first.
    let result = SetUp::Failed(Status::Reset);
    bed.feed(Input::SetUp { id: third, attempt, result, report: Report::default() });
    let mut failed = Vec::new();
    for _ in 0..30 {
        bed.now += 100_000;
        failed.extend(answers(&bed.feed(Input::Tick)));
    }
    assert!(
        failed.iter().any(|(ask, answer)| *ask == 4 && matches!(answer, Answer::Failed { .. })),
        "{failed:?}"
    );
    for id in [second, third] {
        bed.feed(Input::Released { id, bytes: None });
    }
    assert_eq!(bed.engine.sessions(), 0, "nothing is left");
    assert!(sent(&bed.ask(5, exam, None)).is_some() && sent(&bed.ask(6, exam, None)).is_some());
}

#[test]
fn silence_and_a_lost_host_end_sessions() {
    let mut bed = Bed::new(4);
    let play = |bed: &mut Bed, ask| {
        let (id, attempt, server) = sent(&bed.ask(ask, 0, None)).unwrap();
        let out = bed.feed(Input::SetUp { id, attempt, result: plays(), report: Report::default() });
        let Some((_, Answer::Plays { token, .. })) = answers(&out).pop() else { panic!("{out:?}") };
        (id, token, server)
    };
    let (_, token, server) = play(&mut bed, 1);
    bed.feed(Input::Said { server, said: Said::Lost });
    assert_eq!((bed.engine.sessions(), bed.engine.play(bed.now, token).is_none()), (0, true));
    let (id, token, _) = play(&mut bed, 2);
    bed.now += 11_000_000;
    assert!(bed.engine.play(bed.now, token).is_some(), "a playlist was asked for");
    bed.now += 11_000_000;
    let released =
        |out: &[Output]| out.iter().any(|o| matches!(o, Output::Release { id: Some(i), .. } if *i == id));
    assert!(!released(&bed.feed(Input::Tick)));
    bed.now += 2_000_000;
    assert!(released(&bed.feed(Input::Tick)));
}

#[test]
fn a_host_that_was_lost_while_it_set_up_is_listened_to_again() {
    let mut bed = Bed::new(5);
    let (id, attempt, server) = sent(&bed.ask(1, 0, None)).unwrap();
    bed.feed(Input::Said { server: server.clone(), said: Said::Lost });
    let out = bed.feed(Input::SetUp { id, attempt, result: plays(), report: Report::default() });
    assert!(out.iter().any(|o| matches!(o, Output::Follow { server: s } if *s == server)));
}

#[test]
fn retries_beyond_those_that_may_wait_begin_no_second_session() {
    let mut bed = Bed::new(6);
    let (id, attempt, _) = sent(&bed.ask(0, 1, Some(9))).unwrap();
    for ask in 1..20 {
        let out = bed.ask(ask, 1, Some(9));
        assert!(sent(&out).is_none(), "one attempt for one viewer");
        let failed = matches!(answers(&out)[..], [(_, Answer::Failed { late: false })]);
        assert_eq!(failed, ask >= 8, "those over the bound are answered at once, and not as refused");
    }
    let out = bed.feed(Input::SetUp { id, attempt, result: plays(), report: Report::default() });
    assert_eq!((answers(&out).len(), bed.engine.sessions()), (8, 1));
}

/// What the sockets would see of the gateway, kept for the rules.
#[derive(Default)]
struct Seen {
    /// When each request must be answered.
    waits: BTreeMap<Ask, Micros>,
    out: BTreeMap<RequestId, (usize, ServerId)>,
    playing: BTreeMap<RequestId, Token>,
    releasing: BTreeSet<RequestId>,
    paid: BTreeSet<RequestId>,
    ran: BTreeSet<RequestId>,
}

impl Seen {
    fn take(&mut self, now: Micros, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Answer { ask, .. } => {
                    let due = self.waits.remove(&ask).expect("one answer for each request");
                    assert!(now <= due, "in time: {ask} {now} {due} {output:?}");
                }
                Output::SetUp { id, attempt, server, class, rung, .. } => {
                    assert!(!self.out.contains_key(&id), "never two attempts out");
                    assert!(class != 0 || rung >= 1, "floor");
                    if class == 1 {
                        self.paid.insert(id);
                        assert!(!self.ran.contains(&id), "paid once");
                    }
                    self.out.insert(id, (attempt, server));
                }
                Output::Cancel { id, .. } => {
                    self.out.remove(&id);
                    self.ran.insert(id);
                }
                Output::Release { id: Some(id), .. } => {
                    self.releasing.insert(id);
                    self.playing.remove(&id);
                }
                _ => {}
            }
        }
        assert!(self.paid.iter().filter(|id| self.playing.contains_key(id)).count() <= 2, "seats");
    }
}

#[test]
fn rules_hold_for_any_order_of_events_and_nothing_is_leaked() {
    for seed in 0..60 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut bed, mut seen, mut asks) = (Bed::new(100 + seed), Seen::default(), 0);
        for _ in 0..400 {
            // Time moves to the next thing that is due or a little; ticks come on time, as the runtime sees to.
            let step = rng.random_range(0..120_000);
            let due = bed.engine.next_timer().filter(|&due| due <= bed.now + step);
            bed.now = due.unwrap_or(bed.now + step).max(bed.now);
            let out = bed.feed(Input::Tick);
            seen.take(bed.now, out);
            let any = |rng: &mut ChaCha8Rng, len: usize| rng.random_range(0..len.max(1));
            let out = match rng.random_range(0..10) {
                0..=2 => {
                    asks += 1;
                    seen.waits.insert(asks, bed.now + 2_000_000);
                    let sid = rng.random_bool(0.5).then(|| rng.random_range(0..5));
                    bed.ask(asks, rng.random_range(0..2), sid)
                }
                3..=6 if !seen.out.is_empty() => {
                    let k = any(&mut rng, seen.out.len());
                    let (id, (attempt, _)) = seen.out.iter().nth(k).map(|(a, b)| (*a, b.clone())).unwrap();
                    seen.out.remove(&id);
                    let failures =
                        [Status::Failed, Status::Full, Status::ConnectError, Status::Reset, Status::Ignored];
                    let result = match rng.random_range(0..8) {
                        k @ 0..=4 => SetUp::Failed(failures[k]),
                        _ => plays(),
                    };
                    if !matches!(
                        &result,
                        SetUp::Failed(Status::Full | Status::ConnectError | Status::Ignored)
                    ) {
                        seen.ran.insert(id);
                    }
                    let report = Report { link: Some(rng.random_range(0.0..1.3)), ..Report::default() };
                    let out = bed.feed(Input::SetUp { id, attempt, result, report });
                    for (_, answer) in answers(&out) {
                        if let Answer::Plays { token, .. } = answer {
                            seen.playing.insert(id, token);
                        }
                    }
                    out
                }
                7 if !seen.releasing.is_empty() => {
                    let k = any(&mut rng, seen.releasing.len());
                    let id = *seen.releasing.iter().nth(k).unwrap();
                    seen.releasing.remove(&id);
                    bed.feed(Input::Released { id, bytes: None })
                }
                8 => {
                    let server = ServerId(format!("box-{}", rng.random_range(0..4)).as_str().into());
                    let said = match rng.random_range(0..6) {
                        0 => Said::Lost,
                        1 => Said::Delivered(rng.random_range(0.3..1.0)),
                        _ => Said::Link(rng.random_range(0.0..1.5)),
                    };
                    let out = bed.feed(Input::Said { server, said: said.clone() });
                    if said == Said::Lost {
                        let held: Vec<RequestId> = seen.playing.keys().copied().collect();
                        for id in held {
                            let token = seen.playing[&id];
                            if bed.engine.play(bed.now, token).is_none() {
                                seen.playing.remove(&id);
                            }
                        }
                    }
                    out
                }
                _ if rng.random_bool(0.3) && !seen.waits.is_empty() => {
                    let k = any(&mut rng, seen.waits.len());
                    let ask = *seen.waits.keys().nth(k).unwrap();
                    seen.waits.remove(&ask);
                    bed.feed(Input::AskDropped { ask })
                }
                _ => {
                    let k = any(&mut rng, seen.playing.len());
                    match seen.playing.iter().nth(k).map(|(id, token)| (*id, *token)) {
                        Some((_, token)) => bed.feed(Input::Leave { token }),
                        None => Vec::new(),
                    }
                }
            };
            seen.take(bed.now, out);
        }
        // Everything ends: all who wait are answered, all that was held is let go.
        let end = bed.now + 20_000_000;
        while bed.now < end {
            let due = bed.engine.next_timer().filter(|&due| due > bed.now && due <= bed.now + 100_000);
            bed.now = due.unwrap_or(bed.now + 100_000);
            let out = bed.feed(Input::Tick);
            seen.take(bed.now, out);
        }
        assert!(seen.waits.is_empty(), "seed {seed}: {:?}", seen.waits);
        let out = bed.feed(Input::End);
        seen.take(bed.now, out);
        for id in std::mem::take(&mut seen.releasing) {
            let out = bed.feed(Input::Released { id, bytes: None });
            seen.take(bed.now, out);
        }
        assert_eq!(bed.engine.sessions(), 0, "seed {seed}: nothing is leaked");
    }
}
