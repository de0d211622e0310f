#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "http/httpheaders.h"

namespace cowsliphead
{

/// The status line and header fields of a response, as received.
struct ResponseHead {
    int status_ = 0;
    std::string reason_;
    HttpHeaders headers_;

    /// Absent if the body is chunked or is delimited by the end of the connection.
    std::optional<std::uint64_t> contentLength_;
};

} // namespace cowsliphead
