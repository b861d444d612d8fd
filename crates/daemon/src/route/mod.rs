//! The router half: from a pinned call to a verdict.

mod ahead;
mod offer;
pub(crate) mod params;
mod run;
pub(crate) mod service;
mod settle;
mod told;
mod upload;

pub use run::{Outbound, RouteVerdict, run, run_until_gone};
pub use service::{Routers, ServiceRouter};
pub use settle::fence_at;
pub use upload::{Opened, Upload, UploadReader, upload};
