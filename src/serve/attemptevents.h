#pragma once

#include <functional>
#include <string_view>

#include <tl/expected.hpp>

#include "decide/attemptfailure.h"
#include "http/httpresponsehead.h"

namespace cowsliphead
{

/// Callbacks of an attempt, called in the order head, data (any number of times), end. A failure is reported through onEnd_ at any point and ends the attempt.
struct AttemptEvents {
    std::function<void(const HttpResponseHead &)> onHead_;
    std::function<void(std::string_view)> onData_;
    std::function<void(const tl::expected<void, AttemptFailure> &)> onEnd_;
};

} // namespace cowsliphead
