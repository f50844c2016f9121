//! Panics as events.

use std::panic::{self, PanicHookInfo};

use crate::{event::Event, log::emit};

/// Logs each panic. The executor drops a task that panics without a word, and standard error may not
/// be kept.
pub fn tell() {
    let before = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        before(info);
        emit(&event(info));
    }));
}

fn event(info: &PanicHookInfo<'_>) -> Event {
    let place = info.location().map(ToString::to_string);
    Event::Panicked {
        place: place.unwrap_or_default().into(),
        message: message(info).into(),
    }
}

fn message<'a>(info: &'a PanicHookInfo<'_>) -> &'a str {
    let payload = info.payload();
    let text = payload.downcast_ref::<&str>().copied();
    text.or_else(|| payload.downcast_ref::<String>().map(String::as_str))
        .unwrap_or("no message")
}
