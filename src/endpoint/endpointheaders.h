#pragma once

/// Header fields exchanged between the gateway and endpoints.
namespace cowsliphead::endpointheaders
{

/// Identifier of the attempt. The endpoint echoes it, so that an answer to a different request is detected.
constexpr const char *RequestId = "X-Request-Id";

/// Number of events that the caller has already received, one per token. The endpoint continues with the next event and echoes the field.
constexpr const char *ResumeFrom = "X-Resume-From";

/// Priority of the request, a number; an engine starts requests with higher numbers first.
constexpr const char *Priority = "X-Priority";

/// Number of requests at the engine; may be slightly out of date.
constexpr const char *ReportedLoad = "X-Reported-Load";

} // namespace cowsliphead::endpointheaders
