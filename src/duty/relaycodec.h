#pragma once

#include <string>

#include "core/failuredomain.h"
#include "core/result.h"
#include "decide/member.h"

namespace cowsliphead::relaycodec
{

/// Returns the prefix of the store keys of a failure domain's relay slots. Thread safety: any thread.
std::string slotPrefix(const FailureDomain &domain);
/// Returns the store key of one relay slot. Thread safety: any thread.
std::string slotKey(const FailureDomain &domain, std::size_t slot);

/// Encodes the holder of a relay slot as JSON for the store. Thread safety: any thread.
std::string encodeHolder(const Member &member);
/// Errors: CodecMalformed. Thread safety: any thread.
Result<Member> decodeHolder(const std::string &text);

} // namespace cowsliphead::relaycodec
