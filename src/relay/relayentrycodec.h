#pragma once

#include <string>

#include "core/failuredomain.h"
#include "core/result.h"
#include "relay/relayentry.h"
#include "store/storeentry.h"

namespace cowsliphead::relayentrycodec
{

/// Prefix of the entries of all failure domains.
constexpr const char *Prefix = "relay/";

/// Key of a failure domain's entry. Thread safety: any thread.
std::string keyOf(const FailureDomain &domain);

/// Value of an entry that names this relay. Thread safety: any thread.
std::string toText(const GatewayMember &relay);

/// Errors: CodecMalformed. Thread safety: any thread.
Result<RelayEntry> fromEntry(const StoreEntry &entry);

} // namespace cowsliphead::relayentrycodec
