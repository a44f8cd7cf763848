//! Unit tests of `stream_id.rs`.

use super::*;

#[test]
fn ids_are_read_as_they_are_written_and_bad_ones_say_why() {
    let id =
        StreamId::read("#!::r=carex nigra,m=request,u=ann,class=sheet-zoom,t=stream,token=a.b.c").unwrap();
    assert_eq!((&*id.resource, &*id.user, &*id.mode), ("carex nigra", "ann", "request"));
    assert_eq!((id.get("class"), id.get("token"), id.get("x")), (Some("sheet-zoom"), Some("a.b.c"), None));
    assert_eq!(StreamId::read(&id.write()), Ok(id));
    let odd = StreamId { resource: "a,b=c%#".into(), mode: "publish".into(), ..StreamId::default() };
    assert_eq!(StreamId::read(&odd.write()), Ok(odd));
    assert_eq!(StreamId::read("#!::r=x").map(|id| id.mode), Ok("request".into()));
    for (text, why) in [
        ("carex", Bad::Form),
        ("#!:{r: x}", Bad::Form),
        ("#!::r", Bad::Part),
        ("#!::=x", Bad::Part),
        ("#!::r=a,r=b", Bad::Part),
        ("#!::r=%ff", Bad::Value),
        ("#!::r=%0a", Bad::Value),
    ] {
        assert_eq!(StreamId::read(text), Err(why), "{text}");
    }
}
