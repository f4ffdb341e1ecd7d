//! Scenario values: a single quantity, or a range that it is drawn from.

use std::fmt;
use std::marker::PhantomData;

use schemars::{json_schema, JsonSchema, Schema, SchemaGenerator};
use serde::de::value::{F64Deserializer, I64Deserializer, StrDeserializer, U64Deserializer};
use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::random::RandomStream;
use crate::time::Span;

/// A size in bytes, written with its unit: `64KiB`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Bytes(pub u64);

impl Serialize for Bytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&bytesize::ByteSize(self.0).display().iec().to_string().replace(' ', ""))
    }
}

impl<'de> Deserialize<'de> for Bytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct SizeVisitor;
        impl Visitor<'_> for SizeVisitor {
            type Value = Bytes;
            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("a size with its unit, such as \"64KiB\"")
            }
            fn visit_str<E: Error>(self, text: &str) -> Result<Bytes, E> {
                let invalid_size = |_| E::invalid_value(serde::de::Unexpected::Str(text), &self);
                if text.bytes().all(|b| b.is_ascii_digit()) {
                    return Err(invalid_size(String::new()));
                }
                text.parse::<bytesize::ByteSize>().map(|size| Bytes(size.0)).map_err(invalid_size)
            }
        }
        deserializer.deserialize_str(SizeVisitor)
    }
}

/// A quantity that a scenario may give as a range.
pub trait Quantity: Copy + PartialOrd + fmt::Debug {
    /// Expected form in a file, for error messages.
    const FORM: &'static str;

    /// Draws a value from `low` to `high`; for integer quantities, both are included.
    fn between(low: Self, high: Self, rng: &mut RandomStream) -> Self;
}

impl Quantity for f64 {
    const FORM: &'static str = "a number";

    fn between(low: Self, high: Self, rng: &mut RandomStream) -> Self {
        rng.between(low, high)
    }
}

impl Quantity for u32 {
    const FORM: &'static str = "a whole number";

    fn between(low: Self, high: Self, rng: &mut RandomStream) -> Self {
        low + rng.below(u64::from(high - low) + 1) as u32
    }
}

impl Quantity for Span {
    const FORM: &'static str = "a duration with its unit, such as \"250ms\"";

    fn between(low: Self, high: Self, rng: &mut RandomStream) -> Self {
        Span(low.0 + rng.below(high.0 - low.0 + 1))
    }
}

impl Quantity for Bytes {
    const FORM: &'static str = "a size with its unit, such as \"64KiB\"";

    fn between(low: Self, high: Self, rng: &mut RandomStream) -> Self {
        Bytes(low.0 + rng.below(high.0 - low.0 + 1))
    }
}

/// A value, or a range that it is drawn from for each seed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Range<T> {
    /// Smallest value drawn.
    pub low: T,
    /// Largest value drawn; for an `f64` range, the bound below which values are drawn.
    pub high: T,
}

impl<T: Quantity> Range<T> {
    /// A range of a single value.
    pub const fn single(value: T) -> Self {
        Range { low: value, high: value }
    }

    /// A range from `low` to `high`.
    pub const fn of(low: T, high: T) -> Self {
        Range { low, high }
    }

    /// Draws a value. A single value consumes a draw too, so that replacing a range by one does not shift later draws.
    pub fn draw(&self, rng: &mut RandomStream) -> T {
        T::between(self.low, self.high, rng)
    }
}

impl<T: Serialize + PartialEq> Serialize for Range<T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if self.low == self.high {
            self.low.serialize(serializer)
        } else {
            [&self.low, &self.high].serialize(serializer)
        }
    }
}

impl<'de, T: Quantity + Deserialize<'de>> Deserialize<'de> for Range<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct RangeVisitor<T>(PhantomData<T>);
        impl<'de, T: Quantity + Deserialize<'de>> Visitor<'de> for RangeVisitor<T> {
            type Value = Range<T>;
            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                write!(f, "{}, or two of them as [least, most]", T::FORM)
            }
            fn visit_str<E: Error>(self, text: &str) -> Result<Range<T>, E> {
                T::deserialize(StrDeserializer::new(text)).map(Range::single)
            }
            fn visit_i64<E: Error>(self, number: i64) -> Result<Range<T>, E> {
                T::deserialize(I64Deserializer::new(number)).map(Range::single)
            }
            // Non-negative JSON integers arrive as u64, TOML integers as i64.
            fn visit_u64<E: Error>(self, number: u64) -> Result<Range<T>, E> {
                T::deserialize(U64Deserializer::new(number)).map(Range::single)
            }
            fn visit_f64<E: Error>(self, number: f64) -> Result<Range<T>, E> {
                T::deserialize(F64Deserializer::new(number)).map(Range::single)
            }
            fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Range<T>, A::Error> {
                let mut next =
                    |at| seq.next_element::<T>()?.ok_or_else(|| A::Error::invalid_length(at, &self));
                let (low, high) = (next(0)?, next(1)?);
                if seq.next_element::<serde::de::IgnoredAny>()?.is_some() {
                    return Err(A::Error::invalid_length(3, &self));
                }
                if low > high {
                    return Err(A::Error::custom(format!(
                        "the least is above the most: {low:?} and {high:?}"
                    )));
                }
                Ok(Range { low, high })
            }
        }
        deserializer.deserialize_any(RangeVisitor(PhantomData))
    }
}

impl<T: Quantity> JsonSchema for Range<T> {
    fn schema_name() -> std::borrow::Cow<'static, str> {
        format!("{}, or [least, most]", T::FORM).into()
    }

    fn inline_schema() -> bool {
        true
    }

    fn json_schema(_: &mut SchemaGenerator) -> Schema {
        json_schema!({ "x-form": format!("{}, or [least, most]", T::FORM) })
    }
}

impl JsonSchema for Span {
    fn schema_name() -> std::borrow::Cow<'static, str> {
        "duration".into()
    }

    fn inline_schema() -> bool {
        true
    }

    fn json_schema(_: &mut SchemaGenerator) -> Schema {
        json_schema!({ "x-form": Span::FORM })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[derive(Debug, Deserialize, Serialize, PartialEq)]
    struct File {
        time: Range<Span>,
        many: Range<u32>,
        share: Range<f64>,
        size: Range<Bytes>,
    }

    const GOOD: &str = "time = [\"410ms\", \"1s 100ms\"]\nmany = 3\nshare = [1, 2.5]\nsize = \"64KiB\"\n";

    #[test]
    fn values_and_ranges_round_trip() {
        let file: File = toml::from_str(GOOD).unwrap();
        assert_eq!(file.time, Range::of(Span::from_millis(410), Span::from_millis(1100)));
        assert_eq!((file.many, file.share), (Range::single(3), Range::of(1.0, 2.5)));
        assert_eq!(file.size, Range::single(Bytes(65536)));
        let written = toml::to_string(&file).unwrap();
        assert_eq!(toml::from_str::<File>(&written).unwrap(), file, "{written}");
    }

    #[test]
    fn an_invalid_value_is_rejected_with_the_expected_form() {
        for (from, to, expected) in [
            ("\"410ms\"", "410", "a duration with its unit"),
            ("\"410ms\"", "\"soon\"", "a duration with its unit"),
            ("many = 3", "many = -3", "u32"),
            ("many = 3", "many = 3.5", "u32"),
            ("many = 3", "many = [1, 2, 3]", "two of them"),
            ("many = 3", "many = [1]", "two of them"),
            ("many = 3", "many = [2, 1]", "the least is above the most"),
            ("\"64KiB\"", "\"64\"", "a size with its unit"),
            ("\"64KiB\"", "64", "a size with its unit"),
            ("share = [1, 2.5]", "share = \"1\"", "f64"),
        ] {
            let error = toml::from_str::<File>(&GOOD.replace(from, to)).unwrap_err().to_string();
            assert!(error.contains(expected), "{to}: {error}");
        }
    }

    #[test]
    fn draws_stay_in_range_and_reach_both_ends() {
        let (mut rng, range) = (RandomStream::new(1, "range"), Range::of(2u32, 4));
        let draws: Vec<u32> = (0..100).map(|_| range.draw(&mut rng)).collect();
        assert!((2..=4).all(|n| draws.contains(&n)) && draws.iter().all(|n| (2..=4).contains(n)));
    }
}
