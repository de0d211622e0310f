#pragma once

#include <functional>
#include <string_view>

#include <tl/expected.hpp>

#include "http/httpcallfailure.h"
#include "http/httpresponsehead.h"

namespace cowsliphead
{

/// Callbacks of an HttpCall, in this order: head, data (any number of times), end. None follows the end or a cancel().
struct HttpCallEvents {
    std::function<void(const HttpResponseHead &)> onHead_;
    std::function<void(std::string_view)> onData_;
    std::function<void(tl::expected<void, HttpCallFailure>)> onEnd_;
};

} // namespace cowsliphead
