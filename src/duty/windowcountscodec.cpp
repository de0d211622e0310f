#include "duty/windowcountscodec.h"

#include <nlohmann/json.hpp>

#include "core/errorcode.h"
#include "core/parsejson.h"

namespace cowsliphead::windowcountscodec
{

std::string toText(const WindowCounts &counts)
{
    nlohmann::json document{ { "final", counts.isFinal_ }, { "requests", nlohmann::json::object() } };
    for (const auto &[account, requests] : counts.requests_) {
        document["requests"][account.value()] = requests;
    }
    return document.dump();
}

Result<WindowCounts> fromText(UsageWindow window, const std::string &text)
{
    const auto document = parseJson(text);
    if (!document.is_object() || !document.contains("requests") || !document["requests"].is_object()) {
        return failure(ErrorCode::CodecMalformed);
    }
    WindowCounts counts;
    counts.window_ = window;
    counts.isFinal_ = document.contains("final") && document["final"] == true;
    for (const auto &[account, requests] : document["requests"].items()) {
        if (!requests.is_number_unsigned()) {
            return failure(ErrorCode::CodecMalformed);
        }
        counts.requests_[AccountId(account)] = requests.get<std::uint64_t>();
    }
    return counts;
}

} // namespace cowsliphead::windowcountscodec
