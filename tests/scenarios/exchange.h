#pragma once

#include <memory>
#include <string>

#include "http/httpcall.h"
#include "http/httpclient.h"
#include "http/httpresponsehead.h"

namespace cowsliphead::scenarios
{

/// One request of a scenario and what has come of its answer so far.
struct Exchange {
    std::unique_ptr<HttpClient> client_;
    std::shared_ptr<HttpCall> call_;
    HttpResponseHead head_;
    std::string body_;
    bool isEnded_ = false;

    /// True if the answer ended as HTTP says that it should.
    bool isWhole_ = false;
};

} // namespace cowsliphead::scenarios
