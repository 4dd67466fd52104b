use super::*;
use proptest::prelude::*;

proptest! {
    /// Guards against counting a message as complete or truncated because of the transport's chunk
    /// boundaries.
    #[test]
    fn message_count_is_independent_of_chunk_boundaries(lengths in proptest::collection::vec(0u32..40, 0..6), chunk_sizes in proptest::collection::vec(0usize..9, 1..60), end in 0usize..200) {
        let mut stream = Vec::new();
        let mut boundaries = vec![0];
        for length in &lengths {
            stream.extend(prefix(*length));
            stream.extend(std::iter::repeat_n(7, *length as usize));
            boundaries.push(stream.len());
        }
        let stream = &stream[..end.min(stream.len())];
        let mut frames = Frames::default();
        let (mut position, mut next) = (0, chunk_sizes.iter().cycle());
        while position < stream.len() {
            let to = (position + 1 + next.next().unwrap()).min(stream.len());
            frames.take(&stream[position..to]).unwrap();
            position = to;
        }
        let complete = boundaries.iter().rposition(|end| *end <= stream.len()).unwrap();
        prop_assert_eq!(frames.messages(), complete as u64);
        prop_assert_eq!(frames.in_message(), boundaries[complete] != stream.len());
    }
}

#[test]
fn invalid_compression_flag_is_an_error() {
    let mut frames = Frames::default();
    assert_eq!(
        frames.take(&[0, 0, 0, 0, 1, 9, 1, 0, 0, 0, 0, 2]),
        Err(InvalidFlag)
    );
    assert_eq!(frames.messages(), 2);
}
