#include "caller/answerhead.h"

#include "caller/errorresponse.h"
#include "http/httpresponsehead.h"

namespace cowsliphead
{

HttpResponseHead answerHeadFor(const HttpResponseHead &endpointHead)
{
    HttpResponseHead head;
    head.status_ = endpointHead.status_;
    const auto contentType = headerValue(endpointHead.headers_, "Content-Type");
    if (!contentType.empty()) {
        head.headers_.emplace_back("Content-Type", contentType);
    }
    head.headers_.emplace_back(OutcomeHeader, outcomeName(Outcome::Run));
    return head;
}

} // namespace cowsliphead
