#pragma once

#include <memory>
#include <string>

#include "http/httpcall.h"
#include "http/httpclient.h"
#include "http/httpresponsehead.h"

namespace cowsliphead::scenarios
{

/// A request of a scenario and the part of its answer received so far.
struct Exchange {
    std::unique_ptr<HttpClient> client_;
    std::shared_ptr<HttpCall> call_;
    HttpResponseHead head_;
    std::string body_;
    bool isEnded_ = false;

    /// True if the answer ended without an error, as its HTTP framing announced.
    bool isComplete_ = false;
};

} // namespace cowsliphead::scenarios
