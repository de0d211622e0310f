#pragma once

namespace cowsliphead
{

/// Prompt tokens that a current engine of the larger models reads in a millisecond, including attention to the preceding tokens. Assumed where
/// nothing was observed.
inline constexpr double DefaultTokensPerMillisecond = 45;

} // namespace cowsliphead
