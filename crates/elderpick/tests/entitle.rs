//! Tokens, keys and seats as operators handle them, with the program itself.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("elderpick-cli-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    fn file(&self, name: &str) -> String {
        self.0.join(name).display().to_string()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn elderpick(arguments: &[&str]) -> Result<String, String> {
    let out = Command::new(env!("CARGO_BIN_EXE_elderpick")).args(arguments).output().unwrap();
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    if out.status.success() { Ok(text(&out.stdout)) } else { Err(text(&out.stderr)) }
}

fn issue(keys: &str, holder: &str) -> Result<String, String> {
    let what = ["--audience", "front", "--tenant", "botany", "--licence", "course", "--for", "1h"];
    let out = elderpick(&[&["token", "issue", "--keys", keys, "--holder", holder], &what[..]].concat());
    out.map(|text| text.trim().to_owned())
}

fn verify(keys: &str, token: &str) -> Result<String, String> {
    elderpick(&["token", "verify", "--keys", keys, "--audience", "front", token])
}

#[test]
fn keys_change_with_overlap_and_what_gateways_get_cannot_sign() {
    let folder = Folder::new("keys");
    let (keys, public) = (folder.file("keys.json"), folder.file("public.json"));
    elderpick(&["keys", "new", &keys, "--id", "autumn"]).unwrap();
    let old = issue(&keys, "ann").unwrap();
    elderpick(&["keys", "new", &keys, "--id", "winter"]).unwrap();
    let new = issue(&keys, "ann").unwrap();
    std::fs::write(&public, elderpick(&["keys", "public", &keys]).unwrap()).unwrap();
    assert!(verify(&public, &old).unwrap().starts_with("good") && verify(&public, &new).is_ok());
    assert!(issue(&public, "ann").unwrap_err().contains("not here"));
    assert!(elderpick(&["keys", "retire", &keys, "winter"]).unwrap_err().contains("add a new key first"));
    elderpick(&["keys", "retire", &keys, "autumn"]).unwrap();
    let list = elderpick(&["keys", "list", &keys]).unwrap();
    assert!(list.contains("retired") && list.contains("signs"), "{list}");
    assert!(verify(&keys, &old).unwrap_err().contains("no such key") && verify(&keys, &new).is_ok());
    let shown = elderpick(&["token", "inspect", &old]).unwrap();
    assert!(shown.starts_with("not verified") && shown.contains("\"holder\": \"ann\""), "{shown}");
    assert!(verify(&keys, &new[..new.len() - 9]).is_err());
}

const SETTINGS: &str = r#"
me: 0, gateways: 1, listen: "127.0.0.1:0", zone: "z", zones: ["z"], kinds: [{name: "std", places: 20}]
ladder: [{rate: "20kB/s", worth: 1}]
classes: [{name: "exam", aim: "800ms", patience: "2s", licensed: true}]
inventory: "inventory.csv", list: {address: "127.0.0.1:1", wait: "10ms"}
entitlement: {keys: "keys.json", sheet: "sheet.cue", state: "seats.log", audience: "front"}
control: "control.sock"
"#;
const SHEET: &str = r#"
terms: [{from: "2020-01-01T00:00:00Z", until: "2090-01-01T00:00:00Z", gateways: [0],
         licences: [{name: "course", tenant: "botany", classes: ["exam"], seats: 7}]}]
"#;

struct Gateway(Child);

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn start(settings: &str, folder: &Folder) -> Gateway {
    let mut command = Command::new(env!("CARGO_BIN_EXE_elderpick"));
    let log = std::fs::File::create(folder.file("log")).unwrap();
    command.args(["gateway", "--settings", settings]).stdin(Stdio::null()).stderr(log);
    let gateway = Gateway(command.spawn().unwrap());
    for _ in 0..500 {
        if Path::new(&folder.file("control.sock")).exists() {
            return gateway;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    panic!("it does not start: {}", std::fs::read_to_string(folder.file("log")).unwrap());
}

#[test]
fn seats_are_shown_by_the_gateway_or_from_its_log_and_a_missing_log_is_told() {
    let folder = Folder::new("seats");
    let settings = folder.file("gateway.cue");
    std::fs::write(&settings, SETTINGS).unwrap();
    std::fs::write(folder.file("sheet.cue"), SHEET).unwrap();
    std::fs::write(folder.file("inventory.csv"), "id,address,zone,kind,cell\na,127.0.0.1:9,z,std,0\n")
        .unwrap();
    elderpick(&["keys", "new", &folder.file("keys.json")]).unwrap();
    elderpick(&["settings", "check", &settings]).unwrap();
    assert!(elderpick(&["seats", "check", &folder.file("sheet.cue")]).unwrap().contains("7 seats"));
    std::fs::write(folder.file("other.cue"), SHEET.replace("seats: 7", "seats: 9")).unwrap();
    let changed = ["seats", "check", &folder.file("other.cue"), "--after", &folder.file("sheet.cue")];
    assert!(elderpick(&changed).unwrap_err().contains("has begun"));
    // Without a log of seats nothing is given for the hold.
    let gateway = start(&settings, &folder);
    let shown = elderpick(&["seats", "show", "--settings", &settings]).unwrap();
    assert!(shown.contains("course") && shown.contains("no new seats for"), "{shown}");
    // One state has one gateway.
    let second = elderpick(&["gateway", "--settings", &settings]).unwrap_err();
    assert!(second.contains("another gateway"), "{second}");
    drop(gateway);
    // A log that was made for it says that nothing is taken.
    let _ = std::fs::remove_file(folder.file("seats.log"));
    let _ = std::fs::remove_file(folder.file("control.sock"));
    elderpick(&["seats", "init", "--settings", &settings]).unwrap();
    assert!(elderpick(&["seats", "init", "--settings", &settings]).is_err(), "it is not made twice");
    let gateway = start(&settings, &folder);
    let shown = elderpick(&["seats", "show", "--settings", &settings, "--json"]).unwrap();
    assert!(shown.contains("\"closed_ms\":null"), "{shown}");
    drop(gateway);
    let shown = elderpick(&["seats", "show", "--settings", &settings]).unwrap();
    assert!(shown.contains("records: 1") && shown.contains("Whole"), "{shown}");
}
