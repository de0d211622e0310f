#pragma once

#include <cstdint>
#include <functional>
#include <string_view>

#include "core/result.h"
#include "http1/requesthead.h"

namespace cowsliphead
{

struct EndpointEntry;

/// How an endpoint is asked when it started. Without functions, it is not asked.
struct IncarnationQuery {
    std::function<RequestHead(const EndpointEntry &)> request_;

    /// Returns the endpoint's incarnation from the body of its answer. Errors: EndpointAnswerMalformed.
    std::function<Result<std::uint64_t>(std::string_view)> readIncarnation_;
};

} // namespace cowsliphead
