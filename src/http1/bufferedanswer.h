#pragma once

#include <string>

namespace cowsliphead
{

/// The status and complete body of a server's answer.
struct BufferedAnswer {
    int status_ = 0;
    std::string body_;
};

} // namespace cowsliphead
