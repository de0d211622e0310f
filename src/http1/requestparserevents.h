#pragma once

#include <functional>
#include <string_view>

#include "http1/requesthead.h"

namespace cowsliphead
{

/// Callbacks of a RequestParser, called in the order of the message. Each returns false to stop parsing.
struct RequestParserEvents {
    std::function<bool(RequestHead)> onHead_;
    std::function<bool(std::string_view)> onBody_;
    std::function<bool()> onComplete_;
};

} // namespace cowsliphead
