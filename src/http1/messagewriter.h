#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "http/httpheaders.h"

namespace cowsliphead
{

struct RequestHead;

/// A request head as bytes, without a body's framing. Precondition: no field holds a line break. Thread safety: any thread.
std::string requestBytes(const RequestHead &head);

/// A response head as bytes. Precondition: no field holds a line break. Thread safety: any thread.
std::string responseBytes(int status, std::string_view reason, const HttpHeaders &headers);

/// A piece of a chunked body as bytes. Precondition: not empty. Thread safety: any thread.
std::string chunkBytes(std::string_view data);

/// Ends a chunked body.
constexpr std::string_view LastChunk = "0\r\n\r\n";

/// The usual reason phrase, or "Status". Thread safety: any thread.
std::string_view reasonPhrase(int status);

} // namespace cowsliphead
