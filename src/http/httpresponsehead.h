#pragma once

#include "http/httpheaders.h"

namespace cowsliphead
{

/// Status code and header fields of a response.
struct HttpResponseHead {
    int status_ = 200;
    HttpHeaders headers_;
};

} // namespace cowsliphead
