//! Bodies in blocks: their content, and what they take.

use maplefall_memory_account::{charge, BlockBuffer, BLOCK_BYTES};
use quickcheck::quickcheck;

/// Appends pieces of these lengths; checks that each takes what was foreseen.
fn append_all(announced: Option<usize>, lengths: &[usize]) -> (BlockBuffer, Vec<u8>) {
    let mut buffer = BlockBuffer::new(announced);
    let mut content = Vec::new();
    for (number, length) in lengths.iter().enumerate() {
        let piece = vec![number as u8; *length];
        let foreseen = buffer.charge_with(piece.len());
        buffer.append(&piece);
        assert_eq!(buffer.charge_with(0), foreseen);
        content.extend(piece);
    }
    (buffer, content)
}

quickcheck! {
    fn blocks_hold_the_body(lengths: Vec<usize>, is_announced: bool) -> bool {
        let lengths: Vec<usize> = lengths.iter().map(|length| length % (3 * BLOCK_BYTES)).collect();
        let total: usize = lengths.iter().sum();
        let (buffer, content) = append_all(is_announced.then_some(total), &lengths);
        let taken = buffer.charge_with(0);
        let within = if is_announced { taken <= charge(total) } else { taken <= 2 * charge(total) + BLOCK_BYTES };
        let blocks = buffer.into_blocks();
        within && blocks.concat() == content && blocks.iter().all(|block| !block.is_empty() && block.len() <= BLOCK_BYTES)
    }
}

/// Guards against pieces that take far more than they hold: bodies in pieces of one byte take no
/// more than in one piece.
#[test]
fn small_pieces_take_no_more_than_one_piece() {
    let total = 2 * BLOCK_BYTES + 100;
    let (buffer, content) = append_all(Some(total), &vec![1; total]);
    assert_eq!(buffer.charge_with(0), charge(total));
    assert_eq!(buffer.into_blocks().concat(), content);
}
