#pragma once

namespace cowsliphead
{

struct EndpointState;

/// Prompt tokens that a current engine of the larger models reads in a millisecond, including attention to the preceding tokens.
constexpr double DefaultTokensPerMillisecond = 45;

/// Prompt tokens that the engine reads in a millisecond. Thread safety: owner task only.
inline double tokensPerMillisecond(const EndpointState & /*engine*/)
{
    return DefaultTokensPerMillisecond;
}

} // namespace cowsliphead
