#pragma once

#include <functional>
#include <string_view>

#include <tl/expected.hpp>

#include "decide/attemptfailure.h"
#include "http/httpresponsehead.h"

namespace cowsliphead
{

/// What an attempt tells its owner, in this order: head, data, end. A failure can come in place of each of them, and ends the attempt.
struct AttemptEvents {
    std::function<void(const HttpResponseHead &)> onHead_;
    std::function<void(std::string_view)> onData_;
    std::function<void(const tl::expected<void, AttemptFailure> &)> onEnd_;
};

} // namespace cowsliphead
