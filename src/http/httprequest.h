#pragma once

#include <string>

#include "http/httpheaders.h"
#include "http/httpmethod.h"

namespace cowsliphead
{

/// An HTTP request with its complete body.
struct HttpRequest {
    HttpMethod method_ = HttpMethod::Get;
    std::string path_;

    /// The raw query string, without the question mark.
    std::string query_;
    HttpHeaders headers_;
    std::string body_;
};

} // namespace cowsliphead
