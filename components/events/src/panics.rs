//! A panic hook that logs panics as events.

use std::panic::{self, PanicHookInfo};

use crate::{event::Event, log::emit};

/// Installs a hook that logs each panic, after the previous hook. The executor silently drops a
/// task that panics, and standard error may not be kept.
pub fn install_hook() {
    let previous = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        previous(info);
        emit(&event(info));
    }));
}

fn event(info: &PanicHookInfo<'_>) -> Event {
    let location = info.location().map(ToString::to_string);
    Event::Panicked {
        place: location.unwrap_or_default().into(),
        message: message(info).into(),
    }
}

fn message<'a>(info: &'a PanicHookInfo<'_>) -> &'a str {
    let payload = info.payload();
    let text = payload.downcast_ref::<&str>().copied();
    text.or_else(|| payload.downcast_ref::<String>().map(String::as_str))
        .unwrap_or("no message")
}
