#include "http1/messagewriter.h"

#include <array>
#include <charconv>

#include <http_parser.h>

#include "http1/requesthead.h"

namespace cowsliphead
{

namespace
{

constexpr std::size_t LongestChunkSize = 16;
constexpr int Hexadecimal = 16;

void appendHeaders(std::string &bytes, const HttpHeaders &headers)
{
    for (const auto &[name, value] : headers) {
        bytes.append(name).append(": ").append(value).append("\r\n");
    }
    bytes.append("\r\n");
}

} // namespace

std::string requestBytes(const RequestHead &head)
{
    std::string bytes = head.method_ + " " + head.target_ + " HTTP/1.1\r\n";
    appendHeaders(bytes, head.headers_);
    return bytes;
}

std::string responseBytes(int status, std::string_view reason, const HttpHeaders &headers)
{
    std::string bytes = "HTTP/1.1 " + std::to_string(status) + " ";
    bytes.append(reason).append("\r\n");
    appendHeaders(bytes, headers);
    return bytes;
}

std::string chunkBytes(std::string_view data)
{
    std::array<char, LongestChunkSize> size{};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), data.size(), Hexadecimal).ptr;
    std::string bytes(size.data(), end);
    bytes.append("\r\n").append(data).append("\r\n");
    return bytes;
}

std::string_view reasonPhrase(int status)
{
    return http_status_str(static_cast<http_status>(status));
}

} // namespace cowsliphead
