//! Pure decisions for routing, admission, retries and measuring budgets.
//!
//! Everything here is a plain state machine: an event and the present time go
//! in, actions come out. There is no I/O, no clock, no thread, and randomness
//! comes from a generator seeded by whoever builds the machine. The daemons
//! feed these machines from sockets; a bench or a fuzzer can feed the very same
//! code from virtual time.

mod admit;
mod admit_event;
mod begin;
mod body_meter;
mod body_window;
mod budget;
mod chance;
mod cold;
mod copy_rate;
mod distance;
mod elsewhere;
mod evacuation;
mod event;
mod fair_budget;
mod figures;
mod fingerprint;
mod hold;
mod homes;
mod ids;
mod limit;
mod neighbours;
mod origins;
mod pipeline;
mod policy_name;
mod quarantine;
mod quota;
mod redial;
mod region_budget;
mod report;
mod retry;
mod rollout;
mod router;
mod sample;
mod selector;
mod settings_sources;
mod silence;
mod slowness;
mod spell;
mod subset;
mod target;
mod work;

pub use admit::Admit;
pub use admit_event::{AdmitAction, AdmitEvent, AdmitLimits, NextLook};
pub use begin::{Begin, Choice, Outlook};
pub use body_meter::BodyMeter;
pub use body_window::{BodyFault, ReceiveWindow, SendWindow};
pub use budget::{Budget, Cost, Limits};
pub use chance::Need;
pub use cold::{ColdBound, FirstReport};
pub use copy_rate::CopyRate;
pub use distance::{Distance, WayPrices};
pub use elsewhere::Elsewhere;
pub use evacuation::{Evacuations, ZoneNews};
pub use event::{
    Action, AnswerStatus, Event, NotRunReason, Refusal, RefusalReason, Settlement, UnknownReason,
    Verdict,
};
pub use fair_budget::FairBudget;
pub use figures::Figures;
pub use fingerprint::{Fingerprint, NotAFingerprint, RequestPrints};
pub use hold::{CallTerms, Held, Hold};
pub use homes::{Homes, subset_with_homes};
pub use ids::{AttemptId, CallId, EndId, Micros, TargetId};
pub use limit::LearnedLimit;
pub use neighbours::{
    FAR_NEIGHBOURS, NEAR_NEIGHBOURS, NeighbourOrder, REGION_NEIGHBOURS, neighbours, rank,
};
pub use origins::Origins;
pub use pipeline::{Arrival, CallNumber, NextOut, Pipeline, PipelineLimits};
pub use policy_name::{Policy, UnknownPolicy};
pub use quarantine::{
    Changed, Listed, Quarantine, QuarantineLimits, SeenEnd, Standing, SuspectNews,
};
pub use quota::{
    BucketOwners, LeaseStep, QuotaBucket, QuotaGrant, QuotaLease, QuotaLimit, TokenRequest,
    owner_count,
};
pub use redial::{Redial, RedialEvent};
pub use region_budget::RegionBudget;
pub use report::{InPlace, ReportEffect, ReportedState, TargetReport, TargetReports};
pub use retry::{FurtherAttempts, FurtherParams, RetryBound, RetryBudget, RetryWindow};
pub use rollout::{
    Admits, CANARY_PART, Cause, Exposure, Fault, HalfEvidence, Judge, Members, Outcome, Phase,
    Readiness, Rollout, RolloutNews, RolloutOrder, RolloutTargets, Rollouts, Step, Taken, Tally,
    canary_width,
};
pub use router::{Router, RouterCounts, RouterParams};
pub use sample::{SampleRates, Sampler};
pub use selector::{ScoredTarget, SelectionParams, TargetSelector};
pub use settings_sources::{NextSource, SettingsSource, SettingsSources};
pub use silence::SilenceLimit;
pub use slowness::{LikelySlowness, SlownessReading, UsualSlowness};
pub use spell::Spells;
pub use subset::{Candidate, Here, OTHER_REGIONS_MIN, subset};
pub use target::{Health, ServiceAverages, TargetState};
pub use work::{CallKind, Work, Works};
