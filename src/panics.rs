//! Reports panics in the log and in the metrics.

use crate::events;
use std::any::Any;
use std::panic::{
    set_hook,
    take_hook, //
};

/// Reports each panic of this process from now on, in addition to what was done before.
pub fn report() {
    let earlier = take_hook();
    set_hook(Box::new(move |panic| {
        earlier(panic);
        let thread = std::thread::current();
        let name = thread.name().unwrap_or("unnamed").to_owned();
        let place = panic.location().map(ToString::to_string);
        let place = place.as_deref().unwrap_or("an unknown place");
        let message = message(panic.payload());
        events::log(
            events::THREAD_PANICKED,
            format_args!("thread {name}, {place}: {message}"),
        );
        metrics::counter!("fuchsiaslip_panics_total", "thread" => name).increment(1);
    }));
}

/// Returns the message of a panic.
pub fn message(payload: &(dyn Any + Send)) -> &str {
    let literal = payload.downcast_ref::<&str>().copied();
    let formatted = payload.downcast_ref::<String>().map(String::as_str);
    literal.or(formatted).unwrap_or("no message")
}
