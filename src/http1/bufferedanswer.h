#pragma once

#include <string>

#include "http/httpheaders.h"

namespace cowsliphead
{

/// The status, header fields and complete body of a server's answer.
struct BufferedAnswer {
    int status_ = 0;
    HttpHeaders headers_;
    std::string body_;
};

} // namespace cowsliphead
