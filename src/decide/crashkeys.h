#pragma once

#include <cstdint>
#include <string>

#include "core/endpointid.h"
#include "core/requestdigest.h"
#include "decide/incarnationkey.h"
#include "decide/suspectkey.h"

namespace cowsliphead
{

/// The keys under which crashes are counted, equal at all gateways and daemons.
namespace crashkeys
{

/// Thread safety: any thread.
SuspectKey ofRequest(const RequestDigest &digest);

/// part: the identifier, or the text, of a part of prompts. Thread safety: any thread.
SuspectKey ofPart(const std::string &part);

/// incarnation: tells one run of the endpoint from another. Thread safety: any thread.
IncarnationKey ofEndpoint(const EndpointId &endpoint, std::uint64_t incarnation);

} // namespace crashkeys

} // namespace cowsliphead
