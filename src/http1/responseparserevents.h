#pragma once

#include <functional>
#include <string_view>

#include "http1/responsehead.h"

namespace cowsliphead
{

/// What a response parser finds, in order. Each returns false to stop parsing.
struct ResponseParserEvents {
    std::function<bool(ResponseHead)> onHead_;
    std::function<bool(std::string_view)> onBody_;
};

} // namespace cowsliphead
