#pragma once

#include <functional>
#include <string_view>

#include "http1/responsehead.h"

namespace cowsliphead
{

/// Callbacks of a ResponseParser, called in the order of the message. Each returns false to stop parsing.
struct ResponseParserEvents {
    std::function<bool(ResponseHead)> onHead_;
    std::function<bool(std::string_view)> onBody_;
};

} // namespace cowsliphead
