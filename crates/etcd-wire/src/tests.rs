use super::prefix_end;

#[test]
fn a_prefix_ends_before_the_next_one() {
    assert_eq!(prefix_end(b"/a/"), b"/a0");
    assert_eq!(prefix_end(b"a\xff"), b"b");
    assert_eq!(prefix_end(b"\xff"), [0]);
    assert_eq!(prefix_end(b""), [0]);
}
