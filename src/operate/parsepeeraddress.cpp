#include "operate/parsepeeraddress.h"

#include <charconv>

namespace cowsliphead
{

std::optional<PeerAddress> parsePeerAddress(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (parsed.ec != std::errc() || parsed.ptr != end || port == 0) {
        return std::nullopt;
    }
    return PeerAddress{ text.substr(0, colon), port };
}

} // namespace cowsliphead
