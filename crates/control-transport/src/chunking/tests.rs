//! Tests of splitting and reassembling long frames.

use super::*;

fn assemble(chunks: impl IntoIterator<Item = Chunk>) -> Result<Option<Frame>, FrameError> {
    let mut assembler = ChunkAssembler::default();
    for chunk in chunks {
        if let Some(frame) = assembler.push(Frame::Chunk(chunk))? {
            return Ok(Some(frame));
        }
    }
    Ok(None)
}

/// Returns a frame whose encoding is longer than `bytes`.
fn long_frame(bytes: usize) -> Frame {
    Frame::Chunk(Chunk {
        data: vec![7; bytes].into(),
        last: true,
    })
}

fn decode_chunk(encoded: &Bytes) -> Chunk {
    let mut received = BytesMut::from(&encoded[..]);
    let Ok(Some(Frame::Chunk(chunk))) = decode_frame(&mut received) else {
        panic!("not a chunk");
    };
    assert!(received.is_empty());
    chunk
}

/// Guards against corrupt long frames: the chunks contain the frame's bytes in order, none is too
/// long, and only the last one is marked as the last.
#[test]
fn chunks_add_up_to_the_encoded_frame() {
    let encoded = encode_frame(long_frame(3 * MAX_CHUNK_BYTES));
    assert!(needs_chunking(&encoded));
    let chunks: Vec<Chunk> = split_into_chunks(encoded.clone())
        .map(|chunk| decode_chunk(&chunk))
        .collect();
    assert_eq!(chunks.len(), 4);
    assert!(chunks
        .iter()
        .all(|chunk| chunk.data.len() <= MAX_CHUNK_BYTES));
    let joined: Vec<u8> = chunks.iter().flat_map(|chunk| chunk.data.clone()).collect();
    assert_eq!(joined, encoded);
    let last: Vec<bool> = chunks.iter().map(|chunk| chunk.last).collect();
    assert_eq!(last, [false, false, false, true]);
}

/// Guards against foreign clients that send chunks without end: they take no more memory than one
/// frame may.
#[test]
fn endless_chunks_are_rejected() {
    let data = Bytes::from(vec![0; 8 << 20]);
    let endless = std::iter::repeat_with(|| Chunk {
        data: data.clone(),
        last: false,
    });
    assert_eq!(
        assemble(endless.take(100)),
        Err(FrameError::TooLong(9 * (8 << 20)))
    );
}

/// Guards against chunks that contain anything but exactly one frame: a truncated frame, two
/// frames, or another chunk.
#[test]
fn chunks_that_are_not_exactly_one_frame_are_rejected() {
    let ping = encode_frame(Frame::Ping(1));
    let single_chunk = |data: &[u8]| Chunk {
        data: Bytes::copy_from_slice(data),
        last: true,
    };
    assert_eq!(assemble([single_chunk(&ping)]), Ok(Some(Frame::Ping(1))));
    assert_eq!(
        assemble([single_chunk(&ping[..ping.len() - 1])]),
        Err(FrameError::Malformed)
    );
    assert_eq!(
        assemble([single_chunk(&[&ping[..], &ping[..]].concat())]),
        Err(FrameError::Malformed)
    );
    assert_eq!(
        assemble([single_chunk(&encode_frame(long_frame(3)))]),
        Err(FrameError::Malformed)
    );
}
