use crate::{Problem, Schema};

const SCHEMA: &str = r#"
// What a class must be.
#Class: {
    name:   string & !=""
    effect: *"free" | "single_shot"
    aim:    duration & >="1ms"
    worth:  number & >0 | *1
    seats?: int & >0
}
#Gateway: {
    listen:  address
    me:      int & >=0
    classes: [#Class, ...#Class]
    log: { format: *"text" | "json" }
    ladder: [...rate]
    cap: size | *"64KiB"
}
"#;

fn unify(text: &str) -> Result<serde_json::Value, Vec<Problem>> {
    Schema::new("schema", SCHEMA).unwrap().unify("#Gateway", text)
}

#[test]
fn a_file_is_unified_with_defaults_and_definitions_of_its_own() {
    let value = unify(
        "listen: \"127.0.0.1:0\", me: 0\n#base: {aim: \"1.5s\", worth: 2}\n\
         classes: [#base & {name: \"zoom\"}, {name: \"label\", aim: \"800ms\", seats: 3}]\n\
         ladder: [\"200kB/s\", \"1.5MB/s\"] // two\nlog: format: \"json\"\n",
    );
    let wanted = serde_json::json!({
        "listen": "127.0.0.1:0", "me": 0, "log": {"format": "json"}, "ladder": [200_000, 1_500_000], "cap": 65536,
        "classes": [{"name": "zoom", "effect": "free", "aim": 1_500_000, "worth": 2},
                    {"name": "label", "effect": "free", "aim": 800_000, "worth": 1, "seats": 3}],
    });
    assert_eq!(value.unwrap(), wanted);
}

#[test]
fn all_problems_of_a_file_are_told_with_place_field_rule_and_finding() {
    let text = "listen: \"localhost\"\nme: -1\nclasses: [{name: \"\", aim: \"0s\", efect: \"free\"}]\nladder: [\"9 parsec\"]\n";
    let told: Vec<_> = unify(text).unwrap_err().iter().map(|p| (p.place.line, p.field.clone())).collect();
    let wanted = [
        (1, "listen"),
        (2, "me"),
        (3, "classes[0].name"),
        (3, "classes[0].aim"),
        (3, "classes[0].efect"),
        (4, "ladder[0]"),
    ];
    let mut wanted: Vec<_> = wanted.iter().map(|(n, f)| (*n, f.to_string())).collect();
    let mut told = told;
    wanted.sort();
    told.sort();
    assert_eq!(told, wanted);
    let all = unify(text).unwrap_err();
    let aim = all.iter().find(|p| p.field == "classes[0].aim").unwrap();
    assert_eq!((aim.rule.as_str(), aim.found.as_str()), ("must be at least \"1ms\"", "\"0s\""));
}

#[test]
fn what_must_be_given_and_is_not_is_told_where_its_record_stands() {
    let problems = unify("me: 0\nclasses: [\n  {name: \"a\"}]\nladder: []\n").unwrap_err();
    let told: Vec<_> = problems.iter().map(|p| (p.place.line, p.field.as_str())).collect();
    assert_eq!(told, [(1, "listen"), (3, "classes[0].aim")]);
}

#[test]
fn broken_lines_do_not_hide_one_another() {
    let problems = unify("listen \"x\"\nme: }\nclasses: [1 2]\n§\n").unwrap_err();
    let lines: Vec<_> = problems.iter().map(|p| p.place.line).collect();
    assert!([1, 2, 3, 4].iter().all(|n| lines.contains(n)), "{problems:?}");
}

#[test]
fn definitions_that_refer_to_themselves_end_in_a_problem() {
    assert!(unify("#a: #a\nlisten: #a, me: 0, classes: [], ladder: []").is_err());
    assert!(Schema::new("s", "#Gateway: #Gateway").unwrap().unify("#Gateway", "").is_err());
}

#[test]
fn definitions_that_double_at_each_step_end_in_a_problem() {
    let mut text = String::from(
        "listen: \"127.0.0.1:0\", me: 0, ladder: [], classes: [#d60]\n#d0: {name: \"a\", aim: \"1s\"}\n",
    );
    (1..=60).for_each(|k| text += &format!("#d{k}: #d{} & #d{}\n", k - 1, k - 1));
    let problems = unify(&text).unwrap_err();
    assert!(problems.iter().any(|p| p.rule.contains("steps")), "{problems:?}");
    assert!(unify(&text.replace("[#d60]", "[#d8]")).is_ok());
}

#[test]
fn a_field_given_twice_must_agree() {
    let rest = "listen: \"127.0.0.1:0\", classes: [{name: \"a\", aim: \"1s\"}], ladder: []";
    assert!(unify(&format!("me: 1, me: 1, {rest}")).is_ok());
    assert!(unify(&format!("me: 1, me: 2, {rest}")).is_err());
    assert!(unify(&format!("me: 1 & int, {rest}")).is_ok());
    assert!(unify(&format!("me: <3 & 2, {rest}")).is_ok());
    assert!(unify(&format!("me: 3 & <3, {rest}")).is_err());
}

proptest::proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig { cases: 300, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..Default::default() })]
    #[test]
    fn any_text_is_read_or_refused(text in "[a-z#:{}\\[\\],.*&|?\"0-9<>=\n ]{0,80}") {
        if let Err(problems) = unify(&text) {
            proptest::prop_assert!(!problems.is_empty());
        }
    }
}
