#pragma once

#include <string>
#include <vector>

#include "core/result.h"
#include "decide/crashreports.h"
#include "decide/suspectkey.h"
#include "store/storeentry.h"

namespace cowsliphead
{

/// The stored form of the evidence against a suspect that is quarantined. It is kept so that gateways that start, and failure domains that
/// are cut off from each other, know it.
namespace quarantinecodec
{

/// Prefix of the keys.
inline constexpr const char *Prefix = "quarantine/";

/// Thread safety: any thread.
std::string keyOf(SuspectKey suspect);

/// Thread safety: any thread.
std::string toText(const std::vector<CrashSighting> &evidence);

/// Errors: CodecMalformed. Thread safety: any thread.
Result<CrashReports> fromEntry(const StoreEntry &entry);

} // namespace quarantinecodec

} // namespace cowsliphead
