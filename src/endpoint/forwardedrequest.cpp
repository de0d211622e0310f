#include "endpoint/forwardedrequest.h"

#include <algorithm>
#include <array>

#include "endpoint/endpointheaders.h"
#include "http/httprequest.h"
#include "records/endpointrecord.h"

namespace cowsliphead
{

namespace
{

/// Fields that belong to the caller's connection, carry a credential, or are set anew towards the endpoint.
constexpr std::array<const char *, 15> DroppedFields{
    "Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key",        "Cookie", "Host", "Connection", "Keep-Alive", "Proxy-Connection", "TE",
    "Trailer",       "Transfer-Encoding",   "Upgrade",   "Content-Length", "Expect",
};

bool isDropped(const std::string &field)
{
    return std::any_of(DroppedFields.begin(), DroppedFields.end(), [&](const char *dropped) { return isSameHeader(field, dropped); });
}

bool carriesKey(const std::string &value, const std::string &key)
{
    return !key.empty() && value.find(key) != std::string::npos;
}

} // namespace

HttpRequest forwardedRequest(const HttpRequest &request, const EndpointRecord &endpoint, const std::string &key, const std::string &requestId)
{
    HttpRequest forwarded = request;
    forwarded.headers_.clear();
    for (const auto &[field, value] : request.headers_) {
        const bool isOwnField = isSameHeader(field, endpointheaders::RequestId) || isSameHeader(field, endpointheaders::ResumeFrom);
        if (!isDropped(field) && !isOwnField && !carriesKey(value, key) && !carriesKey(field, key)) {
            forwarded.headers_.emplace_back(field, value);
        }
    }
    forwarded.headers_.emplace_back(endpointheaders::RequestId, requestId);
    if (!endpoint.credential_.empty()) {
        forwarded.headers_.emplace_back("Authorization", "Bearer " + endpoint.credential_);
    }
    return forwarded;
}

} // namespace cowsliphead
