#pragma once

/// Header fields between the system and its endpoints.
namespace cowsliphead::endpointheaders
{

/// Identifies the attempt; the endpoint sends it back, so that a crossed answer is noticed.
constexpr const char *RequestId = "X-Request-Id";

/// The number of tokens that the caller has already; the endpoint goes on with the next one.
constexpr const char *ResumeFrom = "X-Resume-From";

} // namespace cowsliphead::endpointheaders
