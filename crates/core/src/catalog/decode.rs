//! Decodes a parsed JSON value into a type and records the source range of each problem.

use jsonc_parser::ast::{NumberLit, ObjectProp, Value};
use jsonc_parser::common::{Range, Ranged};
use serde::de::value::StrDeserializer;
use serde::de::{self, DeserializeSeed, Deserializer, IntoDeserializer, Visitor};
use serde::forward_to_deserialize_any;
use std::collections::HashSet;
use std::fmt;

/// Maximum number of problems reported per object.
const MAX_PROBLEMS: usize = 32;

/// Kind of a decoding problem.
#[derive(Clone, Debug, PartialEq, Eq)]
enum ProblemKind {
    InvalidValue,
    UnknownField,
    MissingField(&'static str),
}

/// A decoding problem with its source range.
#[derive(Clone, Debug)]
pub(super) struct DecodeProblem {
    kind: ProblemKind,
    pub(super) message: String,
    pub(super) range: Option<Range>,
}

impl DecodeProblem {
    fn new(kind: ProblemKind, message: String) -> Self {
        Self { kind, message, range: None }
    }

    fn with_default_range(mut self, range: Range) -> Self {
        self.range.get_or_insert(range);
        self
    }

    /// How to fix the problem.
    pub(super) fn advice(&self) -> &'static str {
        match self.kind {
            ProblemKind::InvalidValue => "correct the value",
            ProblemKind::UnknownField => "correct the name or remove the field",
            ProblemKind::MissingField(_) => "add the field",
        }
    }
}

impl fmt::Display for DecodeProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for DecodeProblem {}

impl de::Error for DecodeProblem {
    fn custom<T: fmt::Display>(message: T) -> Self {
        Self::new(ProblemKind::InvalidValue, message.to_string())
    }

    fn unknown_field(field: &str, expected: &'static [&'static str]) -> Self {
        let known = expected.join(", ");
        Self::new(
            ProblemKind::UnknownField,
            format!("unknown field {field:?}, expected one of {known}"),
        )
    }

    fn missing_field(field: &'static str) -> Self {
        let message = format!("the field {field:?} is missing");
        Self::new(ProblemKind::MissingField(field), message)
    }
}

/// Decodes `value`. After a problem the affected property is skipped and decoding is repeated, so
/// that as many problems as possible are reported.
pub(super) fn decode_value<T: de::DeserializeOwned>(
    value: &Value<'_>,
) -> Result<T, Vec<DecodeProblem>> {
    let mut skipped = SkippedProps::default();
    let mut problems = Vec::new();
    loop {
        let problem = match T::deserialize(NodeDecoder { value, skipped: &skipped }) {
            Ok(decoded) if problems.is_empty() => return Ok(decoded),
            Ok(_) => return Err(problems),
            Err(problem) => problem.with_default_range(value.range()),
        };
        let caused_by_skip =
            matches!(problem.kind, ProblemKind::MissingField(name) if skipped.names.contains(name));
        let range = problem.range;
        if !caused_by_skip {
            problems.push(problem);
        }
        let next = range.and_then(|range| innermost_prop(value, range, &skipped.offsets));
        match next {
            Some(prop) if problems.len() < MAX_PROBLEMS => skipped.insert(prop),
            _ => return Err(problems),
        }
    }
}

/// Properties that are skipped because their problem is already reported.
#[derive(Default)]
struct SkippedProps {
    offsets: HashSet<usize>,
    names: HashSet<String>,
}

impl SkippedProps {
    fn insert(&mut self, prop: &ObjectProp<'_>) {
        self.offsets.insert(prop.range.start);
        self.names.insert(prop.name.as_str().to_owned());
    }
}

/// The innermost property that contains `range` and is not skipped.
fn innermost_prop<'v, 'a>(
    value: &'v Value<'a>,
    range: Range,
    skipped: &HashSet<usize>,
) -> Option<&'v ObjectProp<'a>> {
    let contains = |outer: Range| outer.start <= range.start && range.end <= outer.end;
    match value {
        Value::Object(object) => {
            let mut props = object.properties.iter();
            let prop =
                props.find(|prop| contains(prop.range) && !skipped.contains(&prop.range.start))?;
            innermost_prop(&prop.value, range, skipped).or(Some(prop))
        }
        Value::Array(array) => {
            let element = array.elements.iter().find(|element| contains(element.range()))?;
            innermost_prop(element, range, skipped)
        }
        _ => None,
    }
}

/// Deserializer for one value of the syntax tree.
#[derive(Clone, Copy)]
struct NodeDecoder<'v, 'a> {
    value: &'v Value<'a>,
    skipped: &'v SkippedProps,
}

impl<'v, 'a> NodeDecoder<'v, 'a> {
    const fn child(&self, value: &'v Value<'a>) -> Self {
        Self { value, skipped: self.skipped }
    }

    fn visit<'de, V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, DecodeProblem> {
        match self.value {
            Value::NullKeyword(_) => visitor.visit_unit(),
            Value::BooleanLit(literal) => visitor.visit_bool(literal.value),
            Value::StringLit(literal) => visitor.visit_str(&literal.value),
            Value::NumberLit(literal) => visit_number(literal, visitor),
            Value::Array(array) => {
                let elements = array.elements.iter().map(|element| self.child(element));
                visitor.visit_seq(de::value::SeqDeserializer::new(elements))
            }
            Value::Object(object) => {
                let props = object.properties.iter();
                visitor.visit_map(PropAccess { decoder: self, props, current: None })
            }
        }
    }
}

fn visit_number<'de, V: Visitor<'de>>(
    literal: &NumberLit<'_>,
    visitor: V,
) -> Result<V::Value, DecodeProblem> {
    let text = literal.value;
    if let Ok(number) = text.parse::<u64>() {
        return visitor.visit_u64(number);
    }
    if let Ok(number) = text.parse::<i64>() {
        return visitor.visit_i64(number);
    }
    match text.parse::<f64>() {
        Ok(number) if number.is_finite() => visitor.visit_f64(number),
        _ => Err(de::Error::custom(format!("{text:?} is not a finite decimal number"))),
    }
}

impl<'de> Deserializer<'de> for NodeDecoder<'_, '_> {
    type Error = DecodeProblem;

    fn deserialize_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, DecodeProblem> {
        let range = self.value.range();
        self.visit(visitor).map_err(|problem| problem.with_default_range(range))
    }

    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, DecodeProblem> {
        match self.value {
            Value::NullKeyword(_) => visitor.visit_none(),
            _ => visitor.visit_some(self),
        }
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self,
        name: &'static str,
        variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, DecodeProblem> {
        let range = self.value.range();
        let Value::StringLit(literal) = self.value else {
            let expected = variants.join(", ");
            let problem: DecodeProblem = de::Error::custom(format!("expected one of {expected}"));
            return Err(problem.with_default_range(range));
        };
        let text: StrDeserializer<'_, DecodeProblem> = literal.value.as_ref().into_deserializer();
        let decoded = text.deserialize_enum(name, variants, visitor);
        decoded.map_err(|problem| problem.with_default_range(range))
    }

    fn deserialize_newtype_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        visitor: V,
    ) -> Result<V::Value, DecodeProblem> {
        let range = self.value.range();
        visitor.visit_newtype_struct(self).map_err(|problem| problem.with_default_range(range))
    }

    forward_to_deserialize_any! {
        bool i8 i16 i32 i64 i128 u8 u16 u32 u64 u128 f32 f64 char str string bytes byte_buf unit
        unit_struct seq tuple tuple_struct map struct identifier ignored_any
    }
}

impl<'de> IntoDeserializer<'de, DecodeProblem> for NodeDecoder<'_, '_> {
    type Deserializer = Self;

    fn into_deserializer(self) -> Self {
        self
    }
}

/// Map access to the properties of an object.
struct PropAccess<'v, 'a> {
    decoder: NodeDecoder<'v, 'a>,
    props: std::slice::Iter<'v, ObjectProp<'a>>,
    current: Option<&'v Value<'a>>,
}

impl<'de> de::MapAccess<'de> for PropAccess<'_, '_> {
    type Error = DecodeProblem;

    fn next_key_seed<K: DeserializeSeed<'de>>(
        &mut self,
        seed: K,
    ) -> Result<Option<K::Value>, DecodeProblem> {
        let skipped = &self.decoder.skipped.offsets;
        let Some(prop) = self.props.find(|prop| !skipped.contains(&prop.range.start)) else {
            return Ok(None);
        };
        self.current = Some(&prop.value);
        let key: StrDeserializer<'_, DecodeProblem> = prop.name.as_str().into_deserializer();
        seed.deserialize(key)
            .map(Some)
            .map_err(|problem| problem.with_default_range(prop.name.range()))
    }

    fn next_value_seed<V: DeserializeSeed<'de>>(
        &mut self,
        seed: V,
    ) -> Result<V::Value, DecodeProblem> {
        let missing = || <DecodeProblem as de::Error>::custom("a property has no value");
        let value = self.current.take().ok_or_else(missing)?;
        seed.deserialize(self.decoder.child(value))
    }
}
