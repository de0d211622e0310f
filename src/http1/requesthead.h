#pragma once

#include <string>

#include "http/httpheaders.h"

namespace cowsliphead
{

/// The request line and header fields of a request, as received.
struct RequestHead {
    std::string method_;

    /// Path and query as written in the request line.
    std::string target_;
    HttpHeaders headers_;
};

} // namespace cowsliphead
