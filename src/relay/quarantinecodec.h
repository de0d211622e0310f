#pragma once

#include <string>

#include "core/requestdigest.h"
#include "core/result.h"
#include "decide/crashreport.h"
#include "store/storeentry.h"

namespace cowsliphead
{

/// The stored form of a quarantined request. It is kept so that gateways that start, and failure domains that are cut off from each other,
/// know it.
namespace quarantinecodec
{

/// Prefix of the keys.
inline constexpr const char *Prefix = "quarantine/";

/// Thread safety: any thread.
std::string keyOf(const RequestDigest &digest);

/// Thread safety: any thread.
std::string toText(const CrashCount &count);

/// The report's remaining time is that of a new count, since the entry does not tell its age. Errors: CodecMalformed. Thread safety: any
/// thread.
Result<CrashReport> fromEntry(const StoreEntry &entry);

} // namespace quarantinecodec

} // namespace cowsliphead
