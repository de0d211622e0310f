#pragma once

#include <string>

namespace cowsliphead
{

/// A server's whole answer to a call.
struct BufferedAnswer {
    int status_ = 0;
    std::string body_;
};

} // namespace cowsliphead
