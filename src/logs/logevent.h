#pragma once

namespace cowsliphead
{

/// The numbered events of the log. A number is never reused for another event; docs/EVENTS.md says what each event means.
enum class LogEvent {
    // 100 to 199: the daemon
    DaemonStarted = 100,
    DrainStarted = 101,
    DaemonStopped = 102,
    TlsReloaded = 103,
    TlsReloadFailed = 104,
    LinesOmitted = 105,
    SettingsReloaded = 106,
    SettingsNotReloaded = 107,
    SettingRejected = 108,
    BufferRevoked = 109,

    // 200 to 299: callers and requests
    AnswerResumed = 200,
    AnswerAborted = 201,
    RequestTriedAlone = 202,
    RequestQuarantined = 203,

    RequestEnded = 204,
    DispatchEnded = 205,
    RequestMalformed = 206,
    PromptRead = 207,
    RequestReleased = 208,
    RequestNotAdmitted = 209,

    // 300 to 399: endpoints
    EndpointLost = 300,
    EndpointSilent = 301,
    AnswerCrossed = 302,

    EndpointsUpdated = 303,
    EndpointPaused = 304,
    EndpointPauseMalformed = 305,
    EndpointAvoided = 306,
    EndpointAvoidanceEnded = 307,
    EndpointSurvived = 308,

    // 400 to 499: records and their distribution
    RecordsAdvanced = 400,
    StoreNotAnswering = 401,
    RelayTaken = 402,
    RelayLeft = 403,
    ConfigurationTaken = 404,
    ConfigurationMalformed = 405,
    EndpointEntryMalformed = 406,
    StoreLost = 407,
    StoreRegained = 408,
    EndpointEntryOutdated = 409,
    EndpointLeaves = 410,
    EndpointsTaken = 411,
    StoreEraChanged = 412,
    ConfigurationOutdated = 413,

    // 500 to 599: claims
    ClaimStoreNotAnswering = 500,
    ClaimsMalformed = 501,
    ClaimWriteUnsettled = 502,

    // 600 to 699: duties and leases
    DutyTaken = 600,
    DutyLeft = 601,
    DutyCallRefused = 602,
    DutyCallUnanswered = 603,
    ServersOrdered = 604,
    ScaleBaseMalformed = 605,
    DutyTermContinued = 606,

    // 700 to 799: usage and reports
    UsageLeftBehind = 700,
    UsageReported = 701,
    UsageCountsLost = 702,
    UsageWindowInDoubt = 703,
    UsageSealRestored = 704,

    // 800 to 899: peers and membership
    PeerMessageMalformed = 800,
    RelayEntryMalformed = 801,
    QuarantineEntryMalformed = 802,
};

} // namespace cowsliphead
