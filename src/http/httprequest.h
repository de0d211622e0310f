#pragma once

#include <string>

#include "http/httpheaders.h"
#include "http/httpmethod.h"

namespace cowsliphead
{

/// A request with its whole body.
struct HttpRequest {
    HttpMethod method_ = HttpMethod::Get;
    std::string path_;

    /// The query as it stands in the request line, without the question mark.
    std::string query_;
    HttpHeaders headers_;
    std::string body_;
};

} // namespace cowsliphead
