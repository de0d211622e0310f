#include "http1/parsesocketaddress.h"

#include <charconv>

#include <arpa/inet.h>

#include "core/errorcode.h"
#include "http1/socketaddress.h"

namespace cowsliphead
{

Result<SocketAddress> parseListenAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return failure(ErrorCode::CodecMalformed);
    }
    SocketAddress address;
    address.host_ = std::string(text.substr(0, colon));
    const auto port = text.substr(colon + 1);
    const auto parsed = std::from_chars(port.data(), port.data() + port.size(), address.port_);
    in_addr binary{};
    const bool isNumeric = inet_pton(AF_INET, address.host_.c_str(), &binary) == 1;
    if (!isNumeric || parsed.ec != std::errc() || parsed.ptr != port.data() + port.size()) {
        return failure(ErrorCode::CodecMalformed);
    }
    return address;
}

Result<SocketAddress> parseSocketAddress(std::string_view text)
{
    auto address = parseListenAddress(text);
    if (address && address->port_ == 0) {
        return failure(ErrorCode::CodecMalformed);
    }
    return address;
}

} // namespace cowsliphead
