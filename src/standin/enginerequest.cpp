#include "standin/enginerequest.h"

#include <charconv>

#include <nlohmann/json.hpp>

#include "core/errorcode.h"
#include "endpoint/endpointheaders.h"
#include "http/httprequest.h"
#include "standin/engineoptions.h"

namespace cowsliphead
{

namespace
{

constexpr std::size_t CharactersPerToken = 4;

Result<std::uint32_t> readCount(const HttpHeaders &headers, const char *name)
{
    const auto text = headerValue(headers, name);
    std::uint32_t count = 0;
    if (text.empty()) {
        return count;
    }
    const auto *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, count);
    if (error != std::errc() || rest != end) {
        return failure(ErrorCode::RequestMalformed);
    }
    return count;
}

void readBody(EngineRequest &engineRequest, const nlohmann::json &document, const EngineOptions &options)
{
    engineRequest.model_ = document.value("model", options.model_);
    engineRequest.tokenText_ = document.value("user", engineRequest.tokenText_);
    engineRequest.isStreamed_ = document.value("stream", false);
    engineRequest.requestedTokens_ = document.value("max_tokens", options.defaultTokens_);
}

} // namespace

Result<EngineRequest> readEngineRequest(const HttpRequest &request, const EngineOptions &options)
{
    const auto resumeFrom = readCount(request.headers_, endpointheaders::ResumeFrom);
    const auto priority = readCount(request.headers_, endpointheaders::Priority);
    const auto document = nlohmann::json::parse(request.body_, nullptr, false);
    if (!document.is_object() || !resumeFrom || !priority) {
        return failure(ErrorCode::RequestMalformed);
    }
    EngineRequest engineRequest;
    engineRequest.requestId_ = headerValue(request.headers_, endpointheaders::RequestId);
    engineRequest.resumeFrom_ = *resumeFrom;
    engineRequest.priority_ = *priority;
    engineRequest.isChat_ = request.path_.find("chat") != std::string::npos;
    engineRequest.promptTokens_ = static_cast<std::uint32_t>(1 + request.body_.size() / CharactersPerToken);
    engineRequest.body_ = request.body_;
    try {
        readBody(engineRequest, document, options);
    } catch (const nlohmann::json::exception &) {
        return failure(ErrorCode::RequestMalformed);
    }
    return engineRequest;
}

} // namespace cowsliphead
