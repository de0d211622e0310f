#pragma once

#include <string>

#include "core/requestdigest.h"
#include "decide/incarnationkey.h"
#include "decide/suspectkey.h"

namespace cowsliphead
{

struct EndpointEntry;

/// The keys under which crashes are counted, equal at all gateways.
namespace crashkeys
{

/// Thread safety: any thread.
SuspectKey ofRequest(const RequestDigest &digest);

/// part: the identifier of a part of prompts. Thread safety: any thread.
SuspectKey ofPart(const std::string &part);

/// Thread safety: any thread.
IncarnationKey ofEndpoint(const EndpointEntry &entry);

} // namespace crashkeys

} // namespace cowsliphead
