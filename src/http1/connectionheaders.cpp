#include "http1/connectionheaders.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string>
#include <vector>

#include <boost/algorithm/string.hpp>

namespace cowsliphead
{

namespace
{

constexpr std::array<const char *, 11> ConnectionFields{
    "Connection",        "Keep-Alive",     "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE", "Trailer", "Upgrade",
    "Transfer-Encoding", "Content-Length", "Expect",
};

std::vector<std::string> connectionTokens(const HttpHeaders &headers)
{
    std::vector<std::string> tokens;
    for (const auto &[name, value] : headers) {
        if (!isSameHeaderName(name, "Connection")) {
            continue;
        }
        std::vector<std::string> parts;
        boost::split(parts, value, boost::is_any_of(","));
        for (auto &part : parts) {
            tokens.push_back(boost::trim_copy(part));
        }
    }
    return tokens;
}

bool isOneOf(const std::string &name, const std::vector<std::string> &names)
{
    return std::any_of(names.begin(), names.end(), [&name](const std::string &other) { return isSameHeaderName(name, other); });
}

} // namespace

std::size_t headSizeOf(const HttpHeaders &headers)
{
    std::size_t size = 0;
    for (const auto &[name, value] : headers) {
        size += name.size() + value.size();
    }
    return size;
}

std::uint64_t announcedBodySize(const HttpHeaders &headers)
{
    const auto text = headerValue(headers, "Content-Length");
    std::uint64_t size = 0;
    std::from_chars(text.data(), text.data() + text.size(), size);
    return size;
}

bool isSoundHost(const HttpHeaders &headers)
{
    const auto count = std::count_if(headers.begin(), headers.end(), [](const auto &field) { return isSameHeaderName(field.first, "Host"); });
    return count == 1 && !headerValue(headers, "Host").empty();
}

bool asksToClose(const HttpHeaders &headers)
{
    return isOneOf("close", connectionTokens(headers));
}

bool expectsContinue(const HttpHeaders &headers)
{
    return boost::iequals(headerValue(headers, "Expect"), "100-continue");
}

std::optional<std::chrono::seconds> keepAliveTimeout(const HttpHeaders &headers)
{
    const auto value = headerValue(headers, "Keep-Alive");
    const std::string parameter = "timeout=";
    const auto at = value.find(parameter);
    if (at == std::string::npos) {
        return std::nullopt;
    }
    std::int64_t seconds = 0;
    const char *begin = value.data() + at + parameter.size();
    if (std::from_chars(begin, value.data() + value.size(), seconds).ec != std::errc()) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

HttpHeaders endToEndHeaders(const HttpHeaders &headers)
{
    const auto named = connectionTokens(headers);
    HttpHeaders kept;
    for (const auto &field : headers) {
        const bool isOfConnection =
            std::any_of(ConnectionFields.begin(), ConnectionFields.end(), [&field](const char *name) { return isSameHeaderName(field.first, name); });
        if (!isOfConnection && !isOneOf(field.first, named)) {
            kept.push_back(field);
        }
    }
    return kept;
}

} // namespace cowsliphead
