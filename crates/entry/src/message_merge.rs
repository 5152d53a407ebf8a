//! Assembles a message from its streamed deltas.

use serde_json::{Map, Value, json};

/// A message that is being assembled.
#[derive(Debug, Default)]
pub struct MessageMerge {
    message: Map<String, Value>,
}

impl MessageMerge {
    /// Creates an empty message.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a delta.
    pub fn add(&mut self, delta: Map<String, Value>) {
        for (name, value) in delta {
            match name.as_str() {
                "role" => {
                    self.message.insert(name, value);
                }
                "tool_calls" => self.add_calls(value),
                _ => add_value(&mut self.message, name, value),
            }
        }
    }

    /// Returns the complete message.
    pub fn finish(mut self) -> Map<String, Value> {
        self.message.entry("role").or_insert_with(|| json!("assistant"));
        self.message.entry("content").or_insert(Value::Null);
        self.message
    }

    fn add_calls(&mut self, value: Value) {
        let Value::Array(pieces) = value else { return };
        let calls = self.message.entry("tool_calls").or_insert_with(|| json!([]));
        let Some(calls) = calls.as_array_mut() else { return };
        for piece in pieces {
            let Value::Object(mut piece) = piece else { continue };
            let index = piece.remove("index").and_then(|index| index.as_u64()).unwrap_or(0);
            let position = (index as usize).min(calls.len());
            if position == calls.len() {
                calls.push(json!({}));
            }
            if let Some(call) = calls[position].as_object_mut() {
                merge_object(call, piece);
            }
        }
    }
}

fn merge_object(into: &mut Map<String, Value>, piece: Map<String, Value>) {
    for (name, value) in piece {
        match (into.get_mut(&name), value) {
            (Some(Value::Object(old)), Value::Object(new)) => merge_object(old, new),
            (_, value) => add_value(into, name, value),
        }
    }
}

/// Appends strings and replaces other values.
fn add_value(into: &mut Map<String, Value>, name: String, value: Value) {
    match (into.get_mut(&name), value) {
        (Some(Value::String(old)), Value::String(new)) => old.push_str(&new),
        (Some(_), Value::Null) => {}
        (_, value) => {
            into.insert(name, value);
        }
    }
}
