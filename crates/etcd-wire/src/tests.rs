use super::prefix_end;

#[test]
fn range_of_a_prefix_ends_at_the_next_prefix() {
    assert_eq!(prefix_end(b"/a/"), b"/a0");
    assert_eq!(prefix_end(b"a\xff"), b"b");
    assert_eq!(prefix_end(b"\xff"), [0]);
    assert_eq!(prefix_end(b""), [0]);
}
