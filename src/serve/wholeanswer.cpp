#include "serve/wholeanswer.h"

#include "core/parsejson.h"
#include "http/httpresponsehead.h"

namespace cowsliphead
{

bool isWholeAnswer(const HttpResponseHead &head, const std::string &body, bool isCompletion)
{
    const bool isDelimited = !headerValue(head.headers_, "Content-Length").empty() || !headerValue(head.headers_, "Transfer-Encoding").empty();
    return isDelimited || !isCompletion || !parseJson(body).is_discarded();
}

} // namespace cowsliphead
