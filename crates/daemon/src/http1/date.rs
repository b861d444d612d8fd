//! The `Date` of answers (RFC 9110, section 5.6.7), made anew once a second.

use std::cell::RefCell;
use std::time::{SystemTime, UNIX_EPOCH};

const DAYS: [&str; 7] = ["Thu", "Fri", "Sat", "Sun", "Mon", "Tue", "Wed"];
const MONTHS: [&str; 12] = [
    "Jan", "Feb", "Mar", "Apr", "May", "Jun", "Jul", "Aug", "Sep", "Oct", "Nov", "Dec",
];
const DAY_S: u64 = 86_400;
/// Days of 400 years, after which the calendar repeats.
const ERA_DAYS: u64 = 146_097;
/// Days from 1 March of the year 0, where the leap day ends a year, to 1 January 1970.
const EPOCH_DAYS: u64 = 719_468;

thread_local! {
    static CACHED: RefCell<(u64, String)> = const { RefCell::new((u64::MAX, String::new())) };
}

/// Appends the present date to a head.
pub(super) fn append_now(head: &mut Vec<u8>) {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let now_s = since.map_or(0, |since| since.as_secs());
    CACHED.with_borrow_mut(|(cached_s, text)| {
        if *cached_s != now_s {
            (*cached_s, *text) = (now_s, imf_fixdate(now_s));
        }
        head.extend_from_slice(text.as_bytes());
    });
}

/// The date of a time in seconds since 1970, in the form of HTTP.
pub fn imf_fixdate(unix_s: u64) -> String {
    let (day_number, second) = (unix_s / DAY_S, unix_s % DAY_S);
    let shifted = day_number + EPOCH_DAYS;
    let (era, day) = (shifted / ERA_DAYS, shifted % ERA_DAYS);
    let year = (day - day / 1_460 + day / 36_524 - day / 146_096) / 365;
    let day_of_year = day - (365 * year + year / 4 - year / 100);
    let from_march = (5 * day_of_year + 2) / 153;
    let day_of_month = day_of_year - (153 * from_march + 2) / 5 + 1;
    let month = (from_march + 2) % 12;
    let year = 400 * era + year + u64::from(month < 2);
    format!(
        "{}, {day_of_month:02} {} {year:04} {:02}:{:02}:{:02} GMT",
        DAYS[(day_number % 7) as usize],
        MONTHS[month as usize],
        second / 3_600,
        second / 60 % 60,
        second % 60,
    )
}
