#include "caller/requestreader.h"

#include <algorithm>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <nlohmann/json.hpp>

#include "core/errorcode.h"
#include "core/parsejson.h"
#include "endpoint/keyexposure.h"
#include "http/httprequest.h"

namespace cowsliphead
{

namespace
{

/// With several Authorization fields it is undefined which account the request belongs to.
bool hasSeveralAuthorizations(const HttpHeaders &headers)
{
    const auto isAuthorization = [](const auto &header) { return isSameHeaderName(header.first, "Authorization"); };
    return std::count_if(headers.begin(), headers.end(), isAuthorization) > 1;
}

std::string bearerKey(const HttpHeaders &headers)
{
    const std::string scheme = "bearer ";
    const auto value = headerValue(headers, "Authorization");
    if (!boost::algorithm::istarts_with(value, scheme)) {
        return {};
    }
    return boost::algorithm::trim_copy(value.substr(scheme.size()));
}

Result<RequestFacts> readCompletion(RequestFacts facts, const std::string &body)
{
    const auto document = parseJson(body);
    if (!document.is_object()) {
        return failure(ErrorCode::RequestMalformed);
    }
    const auto model = document.find("model");
    const auto stream = document.find("stream");
    const bool hasModel = model != document.end() && model->is_string() && !model->get_ref<const std::string &>().empty();
    const bool isStreamInvalid = stream != document.end() && !stream->is_boolean() && !stream->is_null();
    if (!hasModel || isStreamInvalid) {
        return failure(ErrorCode::RequestMalformed);
    }
    facts.model_ = ModelId(model->get<std::string>());
    facts.isStreamed_ = stream != document.end() && stream->is_boolean() && stream->get<bool>();
    return facts;
}

} // namespace

Result<RequestFacts> readRequestFacts(const HttpRequest &request)
{
    const bool hasInvalidName =
        std::any_of(request.headers_.begin(), request.headers_.end(), [](const auto &field) { return !hasOnlyNameCharacters(field.first); });
    if (hasInvalidName || hasSeveralAuthorizations(request.headers_)) {
        return failure(ErrorCode::RequestMalformed);
    }
    RequestFacts facts;
    facts.isKeyExposed_ = exposesCredential(request);
    facts.key_ = bearerKey(request.headers_);
    facts.path_ = request.path_;
    facts.isMethodIdempotent_ = isIdempotentMethod(request.method_);
    facts.idempotencyKey_ = headerValue(request.headers_, "Idempotency-Key");
    if (isCompletionPath(request.path_)) {
        return readCompletion(std::move(facts), request.body_);
    }
    return facts;
}

bool isCompletionPath(const std::string &path)
{
    return path == "/v1/chat/completions" || path == "/v1/completions";
}

} // namespace cowsliphead
