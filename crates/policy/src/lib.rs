//! Pure state machines for routing, admission control, retries and measurement budgets.
//!
//! Each state machine takes an event and the present time, and returns actions. There is no
//! I/O, no clock and no thread, and random numbers come from a generator that the owner
//! seeds. Daemons drive the state machines from sockets; benchmarks and fuzz tests drive the
//! same code in simulated time.

mod admit;
mod admit_event;
mod body_credit;
mod body_window;
mod budget;
mod chooser;
mod cold;
mod copy_rate;
mod distance;
mod elsewhere;
mod evacuation;
mod event;
mod fair_budget;
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
mod settings_sources;
mod silence;
mod slow_period;
mod slowness;
mod start_decision;
mod subset;
mod target;
mod target_load;
mod utility;
mod work;

pub use admit::Admit;
pub use admit_event::{AdmitAction, AdmitEvent, AdmitLimits, NextLook};
pub use body_credit::BodyCreditScheduler;
pub use body_window::{BodyError, ReceiveWindow, SendWindow};
pub use budget::{Budget, Cost, Limits};
pub use chooser::{ChooseParams, Chooser, Considered};
pub use cold::{ColdBound, FirstReport};
pub use copy_rate::CopyRate;
pub use distance::{Distance, DistanceCosts};
pub use elsewhere::Elsewhere;
pub use evacuation::{Evacuations, ZoneNews};
pub use event::{
    Action, Event, NotRunReason, Refusal, RefusalReason, Settlement, Source, UnknownReason, Verdict,
};
pub use fair_budget::FairBudget;
pub use fingerprint::{Fingerprint, ParseFingerprintError, RequestFingerprints};
pub use hold::{CallTerms, Held, Hold};
pub use homes::{Homes, subset_with_homes};
pub use ids::{AttemptId, CallId, Micros, TargetExitId, TargetId};
pub use limit::LearnedLimit;
pub use neighbours::{
    FAR_NEIGHBOURS, NEAR_NEIGHBOURS, NeighbourOrder, REGION_NEIGHBOURS, neighbours, rank,
};
pub use origins::Origins;
pub use pipeline::{CallNumber, Pipeline, PipelineLimits, ReadyResponse, RequestInfo};
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
pub use settings_sources::{NextSource, SettingsSource, SettingsSources};
pub use silence::SilenceLimit;
pub use slow_period::SlowPeriodModel;
pub use slowness::{SlownessDistribution, SlownessReading, WeightedSlowness};
pub use start_decision::{StartDecision, StartRequest, TargetConditions};
pub use subset::{Candidate, Here, OTHER_REGIONS_MIN, subset};
pub use target::{Health, TargetState, Usual};
pub use target_load::TargetLoad;
pub use utility::CallTiming;
pub use work::{CallKind, Work, Works};
