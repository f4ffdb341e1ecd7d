//! Encoding of a row: format (2 bytes) and CRC-32 of format and body (4 bytes), both little-endian, then the body in
//! `postcard` encoding.

use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::reason::SetAsideReason;

const HEADER_BYTES: usize = 6;

/// Encodes a row. Returns `None` if the body cannot be serialised, which happens for no type of this crate.
pub(crate) fn encode<T: Serialize>(format: u16, body: &T) -> Option<Vec<u8>> {
    let mut out = format.to_le_bytes().to_vec();
    out.extend_from_slice(&[0; 4]);
    let mut out = postcard::to_extend(body, out).ok()?;
    let sum = checksum(format, &out[HEADER_BYTES..]);
    out[2..HEADER_BYTES].copy_from_slice(&sum.to_le_bytes());
    Some(out)
}

/// Decodes a row of a format up to `supported`. The checksum is verified before the format is compared, so that a
/// damaged format number is reported as corruption and not as a newer format. Newer formats must therefore keep this
/// header.
pub(crate) fn decode<T: DeserializeOwned>(supported: u16, bytes: &[u8]) -> Result<T, SetAsideReason> {
    let (header, body) = bytes
        .split_first_chunk::<HEADER_BYTES>()
        .ok_or_else(|| SetAsideReason::Corrupt("a row is shorter than its header".to_owned()))?;
    let [low, high, sum @ ..] = *header;
    let format = u16::from_le_bytes([low, high]);
    if checksum(format, body) != u32::from_le_bytes(sum) {
        return Err(SetAsideReason::Corrupt("the checksum of a row does not match".to_owned()));
    }
    if format > supported {
        return Err(SetAsideReason::NewerFormat { section: None, found: format, supported });
    }
    match postcard::take_from_bytes(body) {
        Ok((value, [])) => Ok(value),
        _ => Err(SetAsideReason::Unreadable { section: None }),
    }
}

fn checksum(format: u16, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&format.to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn any_flipped_bit_and_any_truncation_is_corrupt() {
        let bytes = encode(1, &(7u64, "body")).unwrap();
        assert_eq!(decode::<(u64, String)>(1, &bytes), Ok((7, "body".to_owned())));
        for bit in 0..bytes.len() * 8 {
            let mut damaged = bytes.clone();
            damaged[bit / 8] ^= 1 << (bit % 8);
            assert!(
                matches!(decode::<(u64, String)>(1, &damaged), Err(SetAsideReason::Corrupt(_))),
                "bit {bit}"
            );
        }
        for length in 0..bytes.len() {
            assert!(matches!(decode::<(u64, String)>(1, &bytes[..length]), Err(SetAsideReason::Corrupt(_))));
        }
    }

    #[test]
    fn newer_formats_and_undecodable_bodies_are_distinguished() {
        let bytes = encode(2, &(7u64, "body")).unwrap();
        let newer = SetAsideReason::NewerFormat { section: None, found: 2, supported: 1 };
        assert_eq!(decode::<(u64, String)>(1, &bytes), Err(newer));
        assert_eq!(
            decode::<u64>(2, &bytes),
            Err(SetAsideReason::Unreadable { section: None }),
            "bytes left over"
        );
    }
}
