#pragma once

#include <functional>
#include <string_view>

#include <tl/expected.hpp>

#include "http/httpcallfailure.h"
#include "http/httpresponsehead.h"

namespace cowsliphead
{

/// What a call tells its owner, in this order: head, data, end. No event follows the end or a cancel.
struct HttpCallEvents {
    std::function<void(const HttpResponseHead &)> onHead_;
    std::function<void(std::string_view)> onData_;
    std::function<void(tl::expected<void, HttpCallFailure>)> onEnd_;
};

} // namespace cowsliphead
