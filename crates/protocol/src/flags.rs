//! The flags on the first line of a cache server's answer.

use hallpin_balancer::CacheNote;

use crate::reply::Malformed;

/// The decoded flags of one answer.
#[derive(Debug, PartialEq)]
pub(crate) struct AnswerFlags<'a> {
    /// `O`: the id of the command that is answered.
    pub(crate) opaque: &'a [u8],
    /// `c`: the receipt of a write.
    pub(crate) receipt: Option<&'a [u8]>,
    /// `h` and `Z`: the result of a read's cache lookup.
    pub(crate) note: Option<CacheNote>,
}

impl<'a> AnswerFlags<'a> {
    /// Parses the words after the status and the length. A word that is not a flag of an answer, a repeated flag, or a
    /// flag after the load report means that the line is a mixture of two, such as the rest of an earlier answer and
    /// the expected one.
    pub(crate) fn parse(words: &[&'a [u8]]) -> Result<Self, Malformed> {
        let (mut opaque, mut receipt, mut hit) = (None, None, None);
        let mut seen = Vec::with_capacity(words.len());
        for word in words.iter().filter(|word| !word.is_empty()) {
            let (letter, argument) = (word[0], &word[1..]);
            if !is_valid_flag(letter, argument) || seen.contains(&letter) || seen.last() == Some(&b'L') {
                return Err(Malformed);
            }
            seen.push(letter);
            match letter {
                b'O' => opaque = Some(argument),
                b'c' => receipt = Some(argument),
                b'h' => hit = Some(argument == b"1"),
                _ => {}
            }
        }
        let note = hit.map(|hit| match hit {
            true => CacheNote::Hit,
            false if seen.contains(&b'Z') => CacheNote::MissFetching,
            false => CacheNote::Miss,
        });
        Ok(AnswerFlags { opaque: opaque.ok_or(Malformed)?, receipt, note })
    }
}

/// Whether an answer's line may end with this word, which is a load report.
pub(crate) fn is_load_report(word: &[u8]) -> bool {
    word.starts_with(b"L")
}

/// Whether this is a flag that meta commands are answered with, and its argument has that flag's form.
fn is_valid_flag(letter: u8, argument: &[u8]) -> bool {
    let is_number = |text: &[u8]| !text.is_empty() && text.iter().all(u8::is_ascii_digit);
    match letter {
        b'O' | b'c' => !argument.is_empty() && argument.iter().all(u8::is_ascii_graphic),
        b'h' => matches!(argument, b"0" | b"1"),
        // Client flags, seconds since the last access, and the size of the value.
        b'f' | b'l' | b's' => is_number(argument),
        // Time to live in seconds; -1 for no expiry.
        b't' => argument == b"-1" || is_number(argument),
        // The client won the right to recache, the value is stale, and another client has won that right.
        b'W' | b'X' | b'Z' => argument.is_empty(),
        // An unreadable load report must not make the answer invalid.
        b'L' => true,
        _ => false,
    }
}
