#pragma once

#include <string>

#include "core/failuredomain.h"
#include "core/result.h"
#include "decide/member.h"

namespace cowsliphead::relaycodec
{

/// The prefix in the store of a failure domain's relay slots. Thread safety: any thread.
std::string slotPrefix(const FailureDomain &domain);
/// The key of one slot. Thread safety: any thread.
std::string slotKey(const FailureDomain &domain, std::size_t slot);

/// The holder of a slot as the store keeps it. Thread safety: any thread.
std::string encodeHolder(const Member &member);
/// Errors: CodecMalformed. Thread safety: any thread.
Result<Member> decodeHolder(const std::string &text);

} // namespace cowsliphead::relaycodec
