#pragma once

#include <string>
#include <string_view>

#include "core/result.h"
#include "core/time.h"
#include "fleet/endpointlist.h"
#include "relay/endpointlease.h"

/// What a relay knows of the endpoints, as it travels between gateways. The same knowledge has the same form at each of them: it holds neither
/// the entries' sequence numbers nor the time until which an entry is kept. Thread safety of all functions: any thread.
namespace cowsliphead::endpointlistcodec
{

std::string encode(const EndpointList &list);

/// How much longer each kept entry of the list is kept.
EndpointLeases leasesOf(const EndpointList &list, MonotonicTime now);

/// Reverses encode() and leasesOf(). askedAt: when the receiver asked for the list, so that it keeps no entry longer than the sender does.
/// Errors: CodecMalformed.
Result<EndpointList> decode(const StoreRevision &revision, std::string_view bytes, const EndpointLeases &leases, MonotonicTime askedAt);

} // namespace cowsliphead::endpointlistcodec
