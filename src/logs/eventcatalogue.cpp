#include "logs/eventcatalogue.h"

#include <algorithm>
#include <array>

#include "logs/eventdescription.h"

namespace cowsliphead
{

namespace
{

constexpr auto Catalogue = std::to_array<EventDescription>({
    { LogEvent::DaemonStarted, LogLevel::Info, "daemon_started", "The daemon listens for callers." },
    { LogEvent::DrainStarted, LogLevel::Info, "drain_started", "The daemon accepts no new requests and finishes those in progress." },
    { LogEvent::DaemonStopped, LogLevel::Info, "daemon_stopped", "All answers are sent, and the daemon exits." },
    { LogEvent::TlsReloaded, LogLevel::Info, "tls_reloaded", "The certificate files were reloaded; new connections use them." },
    { LogEvent::TlsReloadFailed, LogLevel::Error, "tls_reload_failed", "The certificate files are unusable; new connections use the previous certificate." },
    { LogEvent::LinesOmitted,
      LogLevel::Info,
      "lines_omitted",
      "The rate limit omitted lines about normal operation; the field lines says how many since the last such event." },
    { LogEvent::SettingsReloaded, LogLevel::Info, "settings_reloaded", "The bounds of the changed settings file are in force." },
    { LogEvent::SettingsNotReloaded, LogLevel::Error, "settings_not_reloaded", "The changed settings file is unusable; the previous settings stay in force." },
    { LogEvent::SettingRejected,
      LogLevel::Error,
      "setting_rejected",
      "A bound of the settings file has no meaning; the value before, or the default, is in force." },
    { LogEvent::BufferRevoked,
      LogLevel::Warning,
      "buffer_revoked",
      "All connections together buffer too much; the request or connection that buffers most is ended." },
    { LogEvent::AnswerResumed, LogLevel::Info, "answer_resumed", "Another endpoint continues a streamed answer whose endpoint failed." },
    { LogEvent::AnswerAborted, LogLevel::Warning, "answer_aborted", "A started answer cannot be completed; the caller's connection is closed." },
    { LogEvent::RequestTriedAlone,
      LogLevel::Warning,
      "request_tried_alone",
      "A request that was in flight on several crashed endpoints waits to be tried alone on an endpoint." },
    { LogEvent::RequestQuarantined,
      LogLevel::Error,
      "request_quarantined",
      "Endpoints crashed one after the other under a request, or under requests with the same part of a prompt; all such are refused for a while." },
    { LogEvent::RequestEnded, LogLevel::Info, "request_ended", "A request got its final answer or was abandoned." },
    { LogEvent::DispatchEnded, LogLevel::Info, "dispatch_ended", "A dispatch to an endpoint ended without an answer to forward." },
    { LogEvent::RequestMalformed, LogLevel::Info, "request_malformed", "A caller's request is malformed and is sent to no endpoint." },
    { LogEvent::PromptRead,
      LogLevel::Info,
      "prompt_read",
      "A prefill engine has processed a prompt; another engine fetches its KV cache. The field expected gives the time expected before and its terms, if "
      "estimated." },
    { LogEvent::RequestReleased,
      LogLevel::Warning,
      "request_released",
      "What was quarantined is dispatched again: it was answered, an endpoint is alive, or another suspect explains the crashes." },
    { LogEvent::RequestNotAdmitted,
      LogLevel::Info,
      "request_not_admitted",
      "A request is refused, since it is expected to begin too late or has waited for a slot in vain." },
    { LogEvent::EndpointLost, LogLevel::Info, "endpoint_lost", "A connection to an endpoint was lost or refused during a request." },
    { LogEvent::EndpointSilent, LogLevel::Info, "endpoint_silent", "An endpoint sent nothing within the timeout; its idle connections are replaced." },
    { LogEvent::AnswerCrossed, LogLevel::Error, "answer_crossed", "An endpoint answered with the identifier of another attempt; the answer is discarded." },
    { LogEvent::EndpointsUpdated, LogLevel::Info, "endpoints_updated", "The endpoints in use have changed." },
    { LogEvent::EndpointPaused, LogLevel::Info, "endpoint_paused", "An endpoint asked for no requests for a while and gets none." },
    { LogEvent::EndpointPauseMalformed, LogLevel::Warning, "endpoint_pause_malformed", "An endpoint asked for a pause of no valid length; it is ignored." },
    { LogEvent::EndpointAvoided,
      LogLevel::Info,
      "endpoint_avoided",
      "Several gateways saw an endpoint fail, or one found another in its place; it gets no requests." },
    { LogEvent::EndpointAvoidanceEnded, LogLevel::Info, "endpoint_avoidance_ended", "An endpoint that was avoided may get requests again, or is gone." },
    { LogEvent::EndpointSurvived, LogLevel::Info, "endpoint_survived", "An endpoint that was held to have crashed under requests had gone on running." },
    { LogEvent::RecordsAdvanced, LogLevel::Debug, "records_advanced", "The daemon's records are at a newer revision." },
    { LogEvent::StoreNotAnswering, LogLevel::Warning, "store_not_answering", "The platform's store did not answer; the daemon tries again." },
    { LogEvent::RelayTaken, LogLevel::Info, "relay_taken", "The daemon became a relay, which reads the store for its failure domain." },
    { LogEvent::RelayLeft, LogLevel::Info, "relay_left", "The daemon is no longer a relay for its failure domain." },
    { LogEvent::ConfigurationTaken, LogLevel::Info, "configuration_taken", "A newer version of the configuration is in force." },
    { LogEvent::ConfigurationMalformed, LogLevel::Error, "configuration_malformed", "A configuration cannot be decoded; the previous one stays in force." },
    { LogEvent::EndpointEntryMalformed, LogLevel::Warning, "endpoint_entry_malformed", "An endpoint's entry cannot be decoded; the endpoint is not used." },
    { LogEvent::StoreLost, LogLevel::Warning, "store_lost", "The store does not answer; the last configuration and endpoints stay in use." },
    { LogEvent::StoreRegained, LogLevel::Info, "store_regained", "The store answers again." },
    { LogEvent::EndpointEntryOutdated, LogLevel::Info, "endpoint_entry_outdated", "An entry older than the known one of the same endpoint is ignored." },
    { LogEvent::EndpointLeaves, LogLevel::Info, "endpoint_leaves", "An endpoint announced that it is leaving; it gets no new requests." },
    { LogEvent::EndpointsTaken, LogLevel::Info, "endpoints_taken", "A relay's list of the endpoints was taken; its revision and relay follow." },
    { LogEvent::StoreEraChanged, LogLevel::Warning, "store_era_changed", "The store came back from a copy without its newest writes; all is read again." },
    { LogEvent::ConfigurationOutdated,
      LogLevel::Warning,
      "configuration_outdated",
      "The store came back with an older version of the configuration; the one in force stays." },
    { LogEvent::ClaimStoreNotAnswering, LogLevel::Warning, "claim_store_not_answering", "The store did not answer a read of claims; the daemon tries again." },
    { LogEvent::ClaimsMalformed, LogLevel::Error, "claims_malformed", "A claims value cannot be decoded; no claim of its shard is granted." },
    { LogEvent::ClaimWriteUnsettled, LogLevel::Warning, "claim_write_unsettled", "The outcome of a claims write is unknown; the daemon reads the value back." },
    { LogEvent::DutyTaken, LogLevel::Info, "duty_taken", "This gateway holds the duties under a new fencing number." },
    { LogEvent::DutyLeft, LogLevel::Info, "duty_left", "This gateway no longer holds the duties." },
    { LogEvent::DutyCallRefused, LogLevel::Warning, "duty_call_refused", "The platform refused a call made by a duty." },
    { LogEvent::DutyCallUnanswered, LogLevel::Warning, "duty_call_unanswered", "A call made by a duty got no answer; it may have taken effect." },
    { LogEvent::ServersOrdered, LogLevel::Info, "servers_ordered", "A number of endpoints is ordered for a service in a failure domain." },
    { LogEvent::ScaleBaseMalformed, LogLevel::Error, "scale_base_malformed", "The stored base of the server plan cannot be decoded; it is overwritten." },
    { LogEvent::DutyTermContinued,
      LogLevel::Info,
      "duty_term_continued",
      "After the store came back from a copy this gateway took the duties again before any other one." },
    { LogEvent::UsageLeftBehind, LogLevel::Warning, "usage_left_behind", "The store did not accept the last usage before the daemon had to exit." },
    { LogEvent::UsageReported, LogLevel::Info, "usage_reported", "The counts of a window were reported." },
    { LogEvent::UsageCountsLost,
      LogLevel::Warning,
      "usage_counts_lost",
      "Counts of a window were lost: the store did not accept them in time, or they cannot be decoded." },
    { LogEvent::UsageWindowInDoubt,
      LogLevel::Warning,
      "usage_window_in_doubt",
      "A window is not reported: the store came back from a copy, and an earlier holder may have reported it." },
    { LogEvent::UsageSealRestored, LogLevel::Info, "usage_seal_restored", "Sealed counts that the store had lost were written again." },
    { LogEvent::PeerMessageMalformed, LogLevel::Warning, "peer_message_malformed", "A message of another gateway cannot be decoded and is ignored." },
    { LogEvent::RelayEntryMalformed, LogLevel::Warning, "relay_entry_malformed", "The entry that names a failure domain's relay cannot be decoded." },
    { LogEvent::QuarantineEntryMalformed, LogLevel::Warning, "quarantine_entry_malformed", "The stored entry of a quarantined request cannot be decoded." },
});

}

std::span<const EventDescription> eventCatalogue()
{
    return Catalogue;
}

const EventDescription &describeEvent(LogEvent event)
{
    return *std::find_if(Catalogue.begin(), Catalogue.end(), [event](const EventDescription &entry) { return entry.event_ == event; });
}

} // namespace cowsliphead
