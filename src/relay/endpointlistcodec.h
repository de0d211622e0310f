#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/result.h"
#include "fleet/endpointentry.h"

namespace cowsliphead::endpointlistcodec
{

/// Encodes the endpoints in use as MessagePack. Sequence numbers are left out: they change with every heartbeat, and only the reader of the
/// store needs them. Thread safety: any thread.
std::string encode(const std::vector<EndpointEntry> &endpoints);

/// Errors: CodecMalformed. Thread safety: any thread.
Result<std::vector<EndpointEntry>> decode(std::string_view bytes);

} // namespace cowsliphead::endpointlistcodec
