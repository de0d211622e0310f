#include "endpoint/keyexposure.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <utility>

#include "core/keyform.h"
#include "http/httprequest.h"

namespace cowsliphead
{

namespace
{

constexpr std::array<const char *, 6> CredentialFields{ "Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key", "X-Auth-Token", "Cookie" };
constexpr int HexBase = 16;
constexpr std::size_t PercentDigits = 2;
constexpr std::size_t EscapeDigits = 4;
/// A text that is encoded more often than this is not decoded any further.
constexpr int MaxDecodings = 4;

/// The character that the digits stand for; nothing unless all of them are digits of one byte.
std::optional<char> characterOf(std::string_view digits, std::size_t count)
{
    unsigned value = 0;
    const auto *end = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), end, value, HexBase);
    const bool isWhole = digits.size() == count && parsed.ec == std::errc() && parsed.ptr == end;
    constexpr unsigned LargestAscii = 0x7f;
    return isWhole && value <= LargestAscii ? std::optional(static_cast<char>(value)) : std::nullopt;
}

/// How many characters of the text after the place encode one character, and which; zero if none do.
std::pair<std::size_t, char> encodedAt(std::string_view text, std::size_t place)
{
    if (text[place] == '%') {
        const auto decoded = characterOf(text.substr(place + 1, PercentDigits), PercentDigits);
        return decoded ? std::pair(PercentDigits + 1, *decoded) : std::pair(std::size_t(0), '\0');
    }
    if (text[place] != '\\' || place + 1 >= text.size()) {
        return { 0, '\0' };
    }
    if (text[place + 1] == 'u') {
        const auto decoded = characterOf(text.substr(place + 2, EscapeDigits), EscapeDigits);
        return decoded ? std::pair(EscapeDigits + 2, *decoded) : std::pair(std::size_t(0), '\0');
    }
    return { 2, text[place + 1] };
}

std::string decodedOnce(std::string_view text)
{
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t place = 0; place < text.size();) {
        const auto [length, character] = encodedAt(text, place);
        decoded.push_back(length == 0 ? text[place] : character);
        place += std::max<std::size_t>(length, 1);
    }
    return decoded;
}

bool holdsPlain(std::string_view text, const std::vector<std::string> &credentials)
{
    const auto isHeld = [&](const std::string &credential) { return text.find(credential) != std::string_view::npos; };
    return containsApiKey(text) || std::any_of(credentials.begin(), credentials.end(), isHeld);
}

/// Adds the value without the blanks around it, unless it is empty.
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

std::vector<std::string> callerCredentials(const HttpHeaders &headers)
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

bool holdsCredential(std::string_view text, const std::vector<std::string> &credentials)
{
    if (holdsPlain(text, credentials)) {
        return true;
    }
    std::string decoded(text);
    for (int round = 0; round < MaxDecodings && decoded.find_first_of("%\\") != std::string::npos; ++round) {
        decoded = decodedOnce(decoded);
        if (holdsPlain(decoded, credentials)) {
            return true;
        }
    }
    return false;
}

bool exposesCredential(const HttpRequest &request)
{
    const auto credentials = callerCredentials(request.headers_);
    return holdsCredential(request.path_, credentials) || holdsCredential(request.query_, credentials) || holdsCredential(request.body_, credentials);
}

} // namespace cowsliphead
