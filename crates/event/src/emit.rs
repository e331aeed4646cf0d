use std::fmt;

use log::kv;

use crate::{setup, Event};

/// A field of an event: its key and its value.
pub type Field<'a> = (&'static str, &'a dyn fmt::Display);

/// Key of the event's number in JSON form.
const NUMBER_KEY: &str = "number";

struct Fields<'a>(u16, &'a [Field<'a>]);

impl kv::Source for Fields<'_> {
    fn visit<'kvs>(&'kvs self, visitor: &mut dyn kv::VisitSource<'kvs>) -> Result<(), kv::Error> {
        visitor.visit_pair(NUMBER_KEY.into(), kv::Value::from(self.0))?;
        self.1.iter().try_for_each(|(key, value)| {
            visitor.visit_pair((*key).into(), kv::Value::from_dyn_display(value))
        })
    }
}

struct Text<'a>(Event, &'a [Field<'a>]);

impl fmt::Display for Text<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.0.number(), self.0.name())?;
        self.1
            .iter()
            .try_for_each(|(key, value)| write!(f, " {key}={value}"))
    }
}

/// Logs an event with its fields.
///
/// In text format the fields follow the name; in JSON format they are the attributes of the line, beside the number. No
/// field may therefore have the key `number`, which debug builds check.
///
/// ```
/// tsw_event::emit(tsw_event::Event::Ready, &[("revision", &7)]);
/// ```
pub fn emit(event: Event, fields: &[Field<'_>]) {
    debug_assert!(
        fields.iter().all(|(key, _)| *key != NUMBER_KEY),
        "a field of {} hides the number of the event",
        event.name()
    );
    let level = event.level();
    if level > log::max_level() {
        return;
    }
    let source = Fields(event.number(), fields);
    let mut record = log::Record::builder();
    record
        .level(level)
        .target(event.target())
        .key_values(&source);
    if setup::is_json() {
        log::logger().log(&record.args(format_args!("{}", event.name())).build());
    } else {
        let text = Text(event, fields);
        log::logger().log(&record.args(format_args!("{text}")).build());
    }
}
