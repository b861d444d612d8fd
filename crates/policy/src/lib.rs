//! Pure decisions for routing, admission, retries and measuring budgets.
//!
//! Everything here is a plain state machine: an event and the present time go
//! in, actions come out. There is no I/O, no clock, no thread, and randomness
//! comes from a generator seeded by whoever builds the machine. The daemons
//! feed these machines from sockets; a bench or a fuzzer can feed the very same
//! code from virtual time.

mod ack_timeout;
mod admission;
mod admission_event;
mod begin;
mod body_meter;
mod body_window;
mod budget;
mod call_origins;
mod chance;
mod chooser;
mod cold_start;
mod concurrency_limit;
mod distance;
mod elsewhere;
mod evacuation;
mod event;
mod fair_budget;
mod figures;
mod fingerprint;
mod hold_queue;
mod homes;
mod ids;
mod neighbours;
mod pipeline;
mod policy_name;
mod quarantine;
mod quota;
mod reconnect;
mod region_budget;
mod report;
mod retry;
mod rollout;
mod router;
mod sample;
mod service_time;
mod settings_pacer;
mod settings_sources;
mod slowness;
mod spell;
mod subset;
mod target;

pub use ack_timeout::AckTimeout;
pub use admission::AdmissionController;
pub use admission_event::{AdmissionAction, AdmissionEvent, AdmissionLimits, NextRecheck};
pub use begin::{Begin, Choice, Outlook};
pub use body_meter::BodyMeter;
pub use body_window::{BodyFault, ReceiveWindow, SendWindow};
pub use budget::{Budget, Cost, Limits};
pub use call_origins::CallOrigins;
pub use chance::Need;
pub use chooser::{ChooseParams, Chooser, Considered};
pub use cold_start::{ColdStartLimiter, FirstReport};
pub use concurrency_limit::ConcurrencyLimit;
pub use distance::{Distance, WayPrices};
pub use elsewhere::Elsewhere;
pub use evacuation::{EvacuatedZones, ZoneUpdate};
pub use event::{
    Action, Event, NotRunReason, Refusal, RefusalReason, Settlement, Source, UnknownReason, Verdict,
};
pub use fair_budget::FairBudget;
pub use figures::Figures;
pub use fingerprint::{Fingerprint, NotAFingerprint, RequestPrints};
pub use hold_queue::{CallAttributes, HeldCall, HoldQueue};
pub use homes::{Homes, subset_with_homes};
pub use ids::{AttemptId, CallId, EndId, Micros, TargetId};
pub use neighbours::{
    NeighbourOrder, OTHER_REGION_NEIGHBOURS, OTHER_ZONE_NEIGHBOURS, SAME_ZONE_NEIGHBOURS,
    neighbours, rank,
};
pub use pipeline::{Arrival, CallNumber, NextOut, Pipeline, PipelineLimits};
pub use policy_name::{Policy, UnknownPolicy};
pub use quarantine::{
    Changed, Listed, Quarantine, QuarantineLimits, SeenEnd, Standing, SuspectNews,
};
pub use quota::{
    BucketOwners, LeaseStep, QuotaBucket, QuotaGrant, QuotaLease, QuotaLimit, TokenRequest,
    owner_count,
};
pub use reconnect::{ReconnectBackoff, ReconnectEvent};
pub use region_budget::RegionBudget;
pub use report::{InPlace, ReportEffect, ReportedState, TargetReport, TargetReports};
pub use retry::{RetryAllowance, RetryBound, RetryBudget, RetryParams, RetryWindow};
pub use rollout::{
    Admits, CANARY_PART, Cause, Exposure, Fault, HalfEvidence, Judge, Members, Outcome, Phase,
    Readiness, Rollout, RolloutNews, RolloutOrder, RolloutTargets, Rollouts, Step, Taken, Tally,
    canary_width,
};
pub use router::{Router, RouterCounts, RouterParams};
pub use sample::{SampleRates, Sampler};
pub use service_time::{CallKind, ServiceTimeEstimate, ServiceTimes};
pub use settings_pacer::SettingsPacer;
pub use settings_sources::{NextSource, SettingsSource, SettingsSourceSelector};
pub use slowness::{LikelySlowness, SlownessReading, UsualSlowness};
pub use spell::Spells;
pub use subset::{Candidate, Location, MIN_OTHER_REGION_TARGETS, subset};
pub use target::{Health, TargetState, Usual};
