#pragma once

/// Header fields between the system and its endpoints.
namespace cowsliphead::endpointheaders
{

/// Identifies the attempt; the endpoint sends it back, so that a crossed answer is noticed.
constexpr const char *RequestId = "X-Request-Id";

/// The number of events that the caller has already, one a token; the endpoint goes on with the next one and sends the field back.
constexpr const char *ResumeFrom = "X-Resume-From";

/// A number; an engine begins with the higher one first.
constexpr const char *Priority = "X-Priority";

/// The number of requests that an engine had to answer a short while ago.
constexpr const char *ReportedLoad = "X-Reported-Load";

} // namespace cowsliphead::endpointheaders
