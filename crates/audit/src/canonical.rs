//! Canonical JSON: keys in byte order, no white space, integers only. Each value has exactly one
//! text, so that its hash can be recomputed.

use serde_json::{Map, Value};

use crate::Error;

/// Maximum nesting depth of a value. Without a limit, deep nesting would exhaust the stack.
pub const MAX_DEPTH: usize = 8;

/// Returns the canonical text of a value.
///
/// # Errors
///
/// Returns [`Error::NotInteger`] for a number that is not an integer, because its text is not
/// unique, and [`Error::TooDeep`] beyond [`MAX_DEPTH`].
///
/// ```
/// use serde_json::json;
/// use tsw_audit::canonical;
///
/// let text = canonical::text(&json!({ "b": [1, true], "a": "x" }))?;
/// assert_eq!(text, r#"{"a":"x","b":[1,true]}"#);
/// # Ok::<(), tsw_audit::Error>(())
/// ```
pub fn text(value: &Value) -> Result<String, Error> {
    let mut out = String::new();
    write_value(value, 0, &mut out)?;
    Ok(out)
}

fn write_value(value: &Value, depth: usize, out: &mut String) -> Result<(), Error> {
    if depth > MAX_DEPTH {
        return Err(Error::TooDeep);
    }
    match value {
        Value::Number(number) if number.is_f64() => return Err(Error::NotInteger),
        Value::Array(items) => {
            out.push('[');
            for (index, item) in items.iter().enumerate() {
                if index > 0 {
                    out.push(',');
                }
                write_value(item, depth + 1, out)?;
            }
            out.push(']');
        }
        Value::Object(fields) => {
            write_object(fields, depth, out)?;
        }
        Value::String(text) => write_string(text, out)?,
        Value::Null | Value::Bool(_) | Value::Number(_) => {
            out.push_str(&serde_json::to_string(value)?);
        }
    }
    Ok(())
}

pub(crate) fn write_object(
    fields: &Map<String, Value>,
    depth: usize,
    out: &mut String,
) -> Result<(), Error> {
    let mut sorted: Vec<_> = fields.iter().collect();
    sorted.sort_by_key(|(key, _)| *key);
    out.push('{');
    for (index, (key, item)) in sorted.into_iter().enumerate() {
        if index > 0 {
            out.push(',');
        }
        write_string(key, out)?;
        out.push(':');
        write_value(item, depth + 1, out)?;
    }
    out.push('}');
    Ok(())
}

pub(crate) fn write_string(text: &str, out: &mut String) -> Result<(), Error> {
    out.push_str(&serde_json::to_string(text)?);
    Ok(())
}
