//! Pure state machines for routing, admission control, retries and measurement budgets.
//!
//! Each state machine takes an event and the present time, and returns actions. There is no
//! I/O, no clock and no thread, and random numbers come from a generator that the owner
//! seeds. Daemons drive the state machines from sockets; benchmarks and fuzz tests drive the
//! same code in simulated time.

mod ack_timeout;
mod admission;
mod admission_event;
mod answer_memory;
mod body_credit;
mod body_window;
mod budget;
mod call_origins;
mod cold_start;
mod concurrency_limit;
mod decaying_count;
mod departures;
mod distance;
mod elsewhere;
mod evacuation;
mod event;
mod fair_budget;
mod fingerprint;
mod hold_queue;
mod homes;
mod ids;
mod neighbours;
mod pipeline;
mod policy_name;
mod quarantine;
mod quota;
mod rate_limit;
mod reconnect;
mod region_budget;
mod repeated_reports;
mod report;
mod response_match;
mod retry;
mod rollout;
mod router;
mod sample;
mod selector;
mod service_time;
mod settings_pacer;
mod settings_sources;
mod slow_period;
mod slowness;
mod start_decision;
mod subset;
mod target;
mod target_exits;
mod target_load;
mod target_notice;
mod token_bucket;
mod urgency;
mod utility;

pub use ack_timeout::AckTimeout;
pub use admission::AdmissionController;
pub use admission_event::{AdmissionAction, AdmissionEvent, AdmissionLimits, NextRecheck};
pub use answer_memory::{
    AnswerMemory, AnswerMemoryLimits, MAX_ALLOWANCE_BYTES, MIN_ALLOWANCE_BYTES,
};
pub use body_credit::BodyCreditScheduler;
pub use body_window::{BodyError, ReceiveWindow, SendWindow};
pub use budget::{Budget, Cost, Limits};
pub use call_origins::CallOrigins;
pub use cold_start::{ColdStartLimiter, FirstReport};
pub use concurrency_limit::ConcurrencyLimit;
pub use departures::{
    Coverage, Departure, Departures, Greetings, History, HistoryState, RecordOutcome,
    needed_holders,
};
pub use distance::{Distance, DistanceCosts};
pub use elsewhere::Elsewhere;
pub use evacuation::{EvacuatedZones, ZoneUpdate};
pub use event::{
    Action, AnswerStatus, Event, NotRunReason, Refusal, RefusalReason, Settlement, UnknownReason,
    Verdict,
};
pub use fair_budget::FairBudget;
pub use fingerprint::{BodyCoverage, Fingerprint, ParseFingerprintError, RequestFingerprints};
pub use hold_queue::{CallAttributes, HeldCall, HoldQueue};
pub use homes::{Homes, subset_with_homes};
pub use ids::{AttemptId, CallId, Micros, TargetExitId, TargetId};
pub use neighbours::{
    NeighbourOrder, OTHER_REGION_NEIGHBOURS, OTHER_ZONE_NEIGHBOURS, SAME_ZONE_NEIGHBOURS,
    neighbours, rank,
};
pub use pipeline::{CallNumber, Pipeline, PipelineLimits, ReadyResponse, RequestInfo};
pub use policy_name::{Policy, UnknownPolicy};
pub use quarantine::{
    ObservedExit, Quarantine, QuarantineChange, QuarantineLimits, QuarantineStatus, SuspectSummary,
    SuspectUpdate,
};
pub use quota::{
    BucketLevel, BucketOwners, GrantRight, Granter, LeaseOutcome, OwnerReach, QuotaBucket,
    QuotaGrant, QuotaLease, QuotaLimit, SeenLevel, TokenRequest, owner_count,
};
pub use rate_limit::TargetRateLimiter;
pub use reconnect::{ReconnectBackoff, ReconnectEvent};
pub use region_budget::RegionBudget;
pub use report::{
    CurrentTarget, ReportEffect, ReportedState, TargetAnswer, TargetReport, TargetReports,
};
pub use response_match::{
    QueryConnections, ResponseMatch, ResponseMatcher, ResponseName, ResponseNaming,
};
pub use retry::{RetryAllowance, RetryBound, RetryBudget, RetryParams, RetryWindow};
pub use rollout::{
    AdmittedCalls, CANARY_SHARE_FACTOR, CallCounts, CanaryAnalysis, Cause, Exposure, Fault,
    MemberSummary, ObservedCalls, Outcome, Phase, Readiness, Rollout, RolloutChange, RolloutOrder,
    RolloutTargets, RolloutUpdate, Rollouts, Step, TargetEvidence, canary_target_count,
};
pub use router::{Router, RouterCounts, RouterParams};
pub use sample::{SampleRates, Sampler};
pub use selector::{ScoredTarget, SelectionParams, TargetSelector};
pub use service_time::{CallKind, ServiceTimeEstimate, ServiceTimes};
pub use settings_pacer::SettingsPacer;
pub use settings_sources::{NextSource, SettingsSource, SettingsSourceSelector};
pub use slow_period::SlowPeriodModel;
pub use slowness::{SlownessDistribution, SlownessReading, WeightedSlowness};
pub use start_decision::{StartDecision, StartRequest, TargetConditions};
pub use subset::{Candidate, Location, MIN_OTHER_REGION_TARGETS, subset};
pub use target::{Health, ServiceAverages, TargetState};
pub use target_exits::{FoundExit, TargetExits};
pub use target_load::TargetLoad;
pub use target_notice::{OfferShare, RateLimit, StatedLimit, TargetNotice};
pub use urgency::Urgency;
pub use utility::CallTiming;
