#pragma once

#include <functional>

#include "core/result.h"

namespace cowsliphead
{

/// Called exactly once with the answer of the store. StoreUnavailable means that a write may or may not have taken effect.
template <typename T>
using StoreReply = std::function<void(Result<T>)>;

} // namespace cowsliphead
