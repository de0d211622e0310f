#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "http/httpheaders.h"

namespace cowsliphead
{

struct RequestHead;

/// Serializes a request head; does not add Content-Length or Transfer-Encoding. Precondition: no field holds a line break.
/// Thread safety: any thread.
std::string requestBytes(const RequestHead &head);

/// Serializes a response head. Precondition: no field holds a line break. Thread safety: any thread.
std::string responseBytes(int status, std::string_view reason, const HttpHeaders &headers);

/// Serializes one chunk of a chunked body. Precondition: data is not empty. Thread safety: any thread.
std::string chunkBytes(std::string_view data);

/// Terminates a chunked body.
constexpr std::string_view LastChunk = "0\r\n\r\n";

/// Returns the standard reason phrase, or "<unknown>" for a status code without one. Thread safety: any thread.
std::string_view reasonPhrase(int status);

} // namespace cowsliphead
