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
    { LogEvent::DrainStarted, LogLevel::Info, "drain_started", "The daemon takes no new work and finishes what it has." },
    { LogEvent::DaemonStopped, LogLevel::Info, "daemon_stopped", "All answers are written out, and the daemon ends." },
    { LogEvent::TlsReloaded, LogLevel::Info, "tls_reloaded", "New connections get the certificate that the files hold now." },
    { LogEvent::TlsReloadFailed, LogLevel::Error, "tls_reload_failed", "The certificate files are unusable; new connections get the certificate from before." },
    { LogEvent::LinesOmitted, LogLevel::Info, "lines_omitted", "So many lines about what went well were left out since the last one." },
    { LogEvent::SettingsReloaded, LogLevel::Info, "settings_reloaded", "The bounds of the changed settings file are in force." },
    { LogEvent::SettingsNotReloaded,
      LogLevel::Error,
      "settings_not_reloaded",
      "The changed settings file is unusable; the settings from before stay in force." },
    { LogEvent::AnswerResumed, LogLevel::Info, "answer_resumed", "Another endpoint goes on with a streamed answer whose endpoint failed." },
    { LogEvent::AnswerAborted, LogLevel::Warning, "answer_aborted", "A started answer cannot be made whole; the caller's connection is closed." },
    { LogEvent::RequestTriedAlone, LogLevel::Warning, "request_tried_alone", "A request that was in flight on several crashed endpoints is tried alone." },
    { LogEvent::RequestQuarantined,
      LogLevel::Error,
      "request_quarantined",
      "A request crashed an endpoint that it had for itself and is refused for a while." },
    { LogEvent::RequestEnded, LogLevel::Info, "request_ended", "A request got its last answer or was given up." },
    { LogEvent::DispatchEnded, LogLevel::Info, "dispatch_ended", "A dispatch to an endpoint ended without an answer to pass on." },
    { LogEvent::RequestMalformed, LogLevel::Info, "request_malformed", "A caller's request cannot be read and reaches no endpoint." },
    { LogEvent::PromptRead, LogLevel::Info, "prompt_read", "A prefill engine has read a prompt, whose KV cache another engine takes." },
    { LogEvent::EndpointLost, LogLevel::Info, "endpoint_lost", "A connection to an endpoint was lost or refused during a request." },
    { LogEvent::EndpointSilent, LogLevel::Info, "endpoint_silent", "An endpoint gave nothing within the time allowed; its idle connections are replaced." },
    { LogEvent::AnswerCrossed, LogLevel::Error, "answer_crossed", "An endpoint answered with the identifier of another attempt; nothing of it is passed on." },
    { LogEvent::EndpointsUpdated, LogLevel::Info, "endpoints_updated", "The endpoints in use have changed." },
    { LogEvent::RecordsAdvanced, LogLevel::Debug, "records_advanced", "The daemon's records are at a newer revision." },
    { LogEvent::StoreNotAnswering, LogLevel::Warning, "store_not_answering", "The platform's store did not answer; the daemon tries again." },
    { LogEvent::RelayTaken, LogLevel::Info, "relay_taken", "The daemon reads the store for its failure domain." },
    { LogEvent::RelayLeft, LogLevel::Info, "relay_left", "The daemon no longer reads the store for its failure domain." },
    { LogEvent::ConfigurationTaken, LogLevel::Info, "configuration_taken", "A newer version of the configuration is in force." },
    { LogEvent::ConfigurationMalformed, LogLevel::Error, "configuration_malformed", "A configuration cannot be read; the one before stays in force." },
    { LogEvent::EndpointEntryMalformed, LogLevel::Warning, "endpoint_entry_malformed", "An entry names no endpoint to use." },
    { LogEvent::StoreLost, LogLevel::Warning, "store_lost", "The store does not answer; the last configuration and endpoints stay in use." },
    { LogEvent::StoreRegained, LogLevel::Info, "store_regained", "The store answers again." },
    { LogEvent::EndpointEntryOutdated, LogLevel::Info, "endpoint_entry_outdated", "A late entry of an endpoint is ignored." },
    { LogEvent::EndpointLeaves, LogLevel::Info, "endpoint_leaves", "An endpoint says that it leaves; it gets nothing new." },
    { LogEvent::ClaimStoreNotAnswering, LogLevel::Warning, "claim_store_not_answering", "The store did not answer a read of claims; the daemon tries again." },
    { LogEvent::ClaimsMalformed, LogLevel::Error, "claims_malformed", "A value of claims cannot be read; no claim of its shard is granted." },
    { LogEvent::ClaimWriteUnsettled, LogLevel::Warning, "claim_write_unsettled", "Nothing is known of a write of claims; the daemon reads it back." },
    { LogEvent::DutyTaken, LogLevel::Info, "duty_taken", "This gateway holds the duties under a new fencing number." },
    { LogEvent::DutyLeft, LogLevel::Info, "duty_left", "This gateway no longer holds the duties." },
    { LogEvent::DutyCallRefused, LogLevel::Warning, "duty_call_refused", "The platform refused a call of a duty." },
    { LogEvent::DutyCallUnanswered, LogLevel::Warning, "duty_call_unanswered", "A call of a duty got no answer; it may have taken effect." },
    { LogEvent::ServersOrdered, LogLevel::Info, "servers_ordered", "A number of endpoints is ordered for a service in a failure domain." },
    { LogEvent::ScaleBaseMalformed, LogLevel::Error, "scale_base_malformed", "The base of the server plan in the store cannot be read; it is written anew." },
    { LogEvent::UsageLeftBehind, LogLevel::Warning, "usage_left_behind", "The store did not take the last usage before the daemon had to end." },
    { LogEvent::UsageReported, LogLevel::Info, "usage_reported", "The counts of a window were reported." },
    { LogEvent::UsageCountsLost, LogLevel::Warning, "usage_counts_lost", "The store did not take this gateway's counts of a window in time." },
});

}

std::span<const EventDescription> eventCatalogue()
{
    return Catalogue;
}

const EventDescription &describeEvent(LogEvent event)
{
    return *std::find_if(Catalogue.begin(), Catalogue.end(), [event](const EventDescription &known) { return known.event_ == event; });
}

} // namespace cowsliphead
