#include "endpoint/forwardedrequest.h"

#include <algorithm>
#include <array>

#include "endpoint/endpointheaders.h"
#include "endpoint/keyexposure.h"
#include "http/httprequest.h"
#include "records/endpointrecord.h"

namespace cowsliphead
{

namespace
{

/// Fields that belong to the caller's connection, or are set anew towards the endpoint.
constexpr std::array<const char *, 12> DroppedFields{
    "Host",
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Content-Length",
    "Expect",
    endpointheaders::RequestId,
    endpointheaders::ResumeFrom,
};

bool isDropped(const std::string &field)
{
    return std::any_of(DroppedFields.begin(), DroppedFields.end(), [&](const char *dropped) { return isSameHeaderName(field, dropped); });
}

} // namespace

HttpRequest forwardedRequest(const HttpRequest &request, const EndpointRecord &endpoint, const std::string &key, const std::string &requestId)
{
    auto credentials = callerCredentials(request.headers_);
    if (!key.empty()) {
        credentials.push_back(key);
    }
    HttpRequest forwarded = request;
    forwarded.headers_.clear();
    for (const auto &[field, value] : request.headers_) {
        const bool holdsKey = holdsCredential(field, credentials) || holdsCredential(value, credentials);
        if (!isDropped(field) && !isCredentialField(field) && !holdsKey) {
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
