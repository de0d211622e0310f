#include "core/apikey.h"

#include "core/randomhex.h"

namespace cowsliphead
{

namespace
{

constexpr std::string_view KeyPrefix = "cow-";
constexpr int KeyBytes = 24;
constexpr std::size_t KeyDigits = std::size_t(2) * KeyBytes;

} // namespace

std::string generateApiKey()
{
    return std::string(KeyPrefix) + randomHex(KeyBytes);
}

bool containsApiKey(std::string_view text)
{
    for (auto position = text.find(KeyPrefix); position != std::string_view::npos; position = text.find(KeyPrefix, position + 1)) {
        const auto digits = text.substr(position + KeyPrefix.size(), KeyDigits);
        if (digits.size() == KeyDigits && digits.find_first_not_of("0123456789abcdef") == std::string_view::npos) {
            return true;
        }
    }
    return false;
}

} // namespace cowsliphead
