//! The frame format of segments and state files, with its checksums.
//!
//! | bytes | content |
//! | --- | --- |
//! | 0..4 | `mf2` and a zero byte |
//! | 4..12 | number of the file, little-endian like all numbers |
//! | 12..16 | length of the payload |
//! | 16..20 | CRC-32C of the payload |
//! | 20..24 | CRC-32C of bytes 0..20 |
//! | 24.. | payload, a protobuf message |
//!
//! The frame contains the number of its file, so that the content of a reused disk block is never
//! mistaken for the file's own. The header has its own checksum, so that a corrupt length is not
//! used.

/// The first bytes of a frame, for format 2.
const MAGIC: [u8; 4] = *b"mf2\0";
/// Length of the header.
pub(super) const FRAME_HEADER_BYTES: usize = 24;
/// Number of header bytes that the header's checksum covers.
const CHECKED_HEADER_BYTES: usize = 20;

/// A frame to be written.
pub(super) struct Frame(Vec<u8>);

impl Frame {
    /// Encodes a payload of this length in place. The header is written later by
    /// [`Frame::write_header`].
    pub(super) fn encode(payload_bytes: usize, encode: impl FnOnce(&mut Vec<u8>)) -> Frame {
        let mut bytes = Vec::with_capacity(FRAME_HEADER_BYTES + payload_bytes);
        bytes.resize(FRAME_HEADER_BYTES, 0);
        encode(&mut bytes);
        Frame(bytes)
    }

    /// Writes the header for the file with this number, replacing the header for another file if
    /// there was one.
    pub(super) fn write_header(&mut self, file_number: u64) {
        let Some((header, payload)) = self.0.split_first_chunk_mut::<FRAME_HEADER_BYTES>() else {
            return;
        };
        header[..4].copy_from_slice(&MAGIC);
        header[4..12].copy_from_slice(&file_number.to_le_bytes());
        // The longest payload is a state, far below 4 GiB.
        header[12..16].copy_from_slice(&(payload.len() as u32).to_le_bytes());
        header[16..20].copy_from_slice(&crc32c::crc32c(payload).to_le_bytes());
        let checksum = crc32c::crc32c(&header[..CHECKED_HEADER_BYTES]);
        header[CHECKED_HEADER_BYTES..].copy_from_slice(&checksum.to_le_bytes());
    }

    /// Returns the header and the payload.
    pub(super) fn bytes(&self) -> &[u8] {
        &self.0
    }

    /// Returns the length of the header and the payload.
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }
}

/// The fields of a valid header that describe the payload.
struct FrameHeader {
    payload_bytes: usize,
    payload_checksum: u32,
}

impl FrameHeader {
    /// Parses the header at the start of `bytes`, if it belongs to this file and is not corrupt.
    fn parse(file_number: u64, bytes: &[u8]) -> Option<FrameHeader> {
        let header = bytes.first_chunk::<FRAME_HEADER_BYTES>()?;
        let matches_file = header[..4] == MAGIC && header[4..12] == file_number.to_le_bytes();
        let checksum = crc32c::crc32c(&header[..CHECKED_HEADER_BYTES]);
        (matches_file && read_u32(header, CHECKED_HEADER_BYTES) == checksum).then(|| FrameHeader {
            payload_bytes: read_u32(header, 12) as usize,
            payload_checksum: read_u32(header, 16),
        })
    }
}

fn read_u32(header: &[u8; FRAME_HEADER_BYTES], offset: usize) -> u32 {
    let mut bytes = [0; 4];
    bytes.copy_from_slice(&header[offset..offset + 4]);
    u32::from_le_bytes(bytes)
}

/// Returns the payload of the frame at the start of `bytes`, if the frame is complete and its
/// checksums match.
pub(super) fn read_payload(file_number: u64, bytes: &[u8]) -> Option<&[u8]> {
    let header = FrameHeader::parse(file_number, bytes)?;
    let payload = bytes[FRAME_HEADER_BYTES..].get(..header.payload_bytes)?;
    (crc32c::crc32c(payload) == header.payload_checksum).then_some(payload)
}

/// Returns whether another frame follows the incomplete one at the start of `bytes`. A frame is
/// written only once those before it are durable, so in that case the incomplete frame is corrupt,
/// and not the torn end of a write that was never acknowledged.
pub(super) fn has_later_frame(file_number: u64, bytes: &[u8]) -> bool {
    let from = FrameHeader::parse(file_number, bytes)
        .map_or(1, |header| FRAME_HEADER_BYTES + header.payload_bytes);
    let rest = bytes.get(from..).unwrap_or_default();
    rest.windows(FRAME_HEADER_BYTES)
        .any(|window| window[0] == MAGIC[0] && FrameHeader::parse(file_number, window).is_some())
}
