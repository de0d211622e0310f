#include "endpoint/keyexposure.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <utility>

#include "core/apikey.h"
#include "http/httprequest.h"

namespace cowsliphead
{

namespace
{

constexpr std::array<const char *, 6> CredentialFields{ "Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key", "X-Auth-Token", "Cookie" };
constexpr int HexBase = 16;
constexpr std::size_t PercentHexDigits = 2;
constexpr std::size_t UnicodeHexDigits = 4;
/// Maximum number of nested encodings that are decoded.
constexpr int MaxDecodings = 4;

/// The ASCII character with this hexadecimal code; nothing unless there are exactly count hexadecimal digits.
std::optional<char> decodeHexDigits(std::string_view digits, std::size_t count)
{
    unsigned value = 0;
    const auto *end = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), end, value, HexBase);
    const bool isFullyParsed = digits.size() == count && parsed.ec == std::errc() && parsed.ptr == end;
    constexpr unsigned LargestAscii = 0x7f;
    return isFullyParsed && value <= LargestAscii ? std::optional(static_cast<char>(value)) : std::nullopt;
}

/// Decodes the percent or JSON escape that begins at the position. Returns its length and the decoded character; length 0 if there is none.
std::pair<std::size_t, char> decodeAt(std::string_view text, std::size_t position)
{
    if (text[position] == '%') {
        const auto decoded = decodeHexDigits(text.substr(position + 1, PercentHexDigits), PercentHexDigits);
        return decoded ? std::pair(PercentHexDigits + 1, *decoded) : std::pair(std::size_t(0), '\0');
    }
    if (text[position] != '\\' || position + 1 >= text.size()) {
        return { 0, '\0' };
    }
    if (text[position + 1] == 'u') {
        const auto decoded = decodeHexDigits(text.substr(position + 2, UnicodeHexDigits), UnicodeHexDigits);
        return decoded ? std::pair(UnicodeHexDigits + 2, *decoded) : std::pair(std::size_t(0), '\0');
    }
    return { 2, text[position + 1] };
}

std::string decodeOnce(std::string_view text)
{
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t position = 0; position < text.size();) {
        const auto [length, character] = decodeAt(text, position);
        decoded.push_back(length == 0 ? text[position] : character);
        position += std::max<std::size_t>(length, 1);
    }
    return decoded;
}

bool containsUnencoded(std::string_view text, const std::vector<std::string> &credentials)
{
    const auto isContained = [&](const std::string &credential) { return text.find(credential) != std::string_view::npos; };
    return containsApiKey(text) || std::any_of(credentials.begin(), credentials.end(), isContained);
}

/// Adds the value without surrounding whitespace, unless it is blank.
void addTrimmed(std::vector<std::string> &credentials, std::string_view value)
{
    constexpr std::string_view Blanks = " \t";
    const auto first = value.find_first_not_of(Blanks);
    if (first != std::string_view::npos) {
        credentials.emplace_back(value.substr(first, value.find_last_not_of(Blanks) - first + 1));
    }
}

} // namespace

bool isCredentialField(const std::string &field)
{
    return std::any_of(CredentialFields.begin(), CredentialFields.end(), [&](const char *known) { return isSameHeaderName(field, known); });
}

std::vector<std::string> collectCredentials(const HttpHeaders &headers)
{
    std::vector<std::string> credentials;
    for (const auto &[field, value] : headers) {
        if (!isCredentialField(field) || isSameHeaderName(field, "Cookie")) {
            continue;
        }
        const auto schemeEnd = value.find_first_of(" \t");
        if (schemeEnd == std::string::npos) {
            addTrimmed(credentials, value);
        } else {
            addTrimmed(credentials, std::string_view(value).substr(schemeEnd));
        }
    }
    return credentials;
}

bool containsCredential(std::string_view text, const std::vector<std::string> &credentials)
{
    if (containsUnencoded(text, credentials)) {
        return true;
    }
    std::string decoded(text);
    for (int pass = 0; pass < MaxDecodings && decoded.find_first_of("%\\") != std::string::npos; ++pass) {
        decoded = decodeOnce(decoded);
        if (containsUnencoded(decoded, credentials)) {
            return true;
        }
    }
    return false;
}

bool exposesCredential(const HttpRequest &request)
{
    const auto credentials = collectCredentials(request.headers_);
    return containsCredential(request.path_, credentials) || containsCredential(request.query_, credentials) || containsCredential(request.body_, credentials);
}

} // namespace cowsliphead
