#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include "http/httpheaders.h"

namespace cowsliphead
{

/// Returns the total size of all field names and values in bytes. Thread safety: any thread.
std::size_t totalHeaderSize(const HttpHeaders &headers);

/// Returns the value of Content-Length, or 0 if the field is absent. Thread safety: any thread.
std::uint64_t declaredContentLength(const HttpHeaders &headers);

/// True if there is exactly one Host field and it is not empty. Thread safety: any thread.
bool hasValidHost(const HttpHeaders &headers);

/// True if the Connection field contains "close", so that the sender closes the connection after this message. Thread safety: any thread.
bool hasConnectionClose(const HttpHeaders &headers);

/// True if the sender waits for "100 Continue" before it sends the body. Thread safety: any thread.
bool expectsContinue(const HttpHeaders &headers);

/// Returns the timeout parameter of the Keep-Alive field, if there is one. Thread safety: any thread.
std::optional<std::chrono::seconds> keepAliveTimeout(const HttpHeaders &headers);

/// Returns the fields to forward: all but the hop-by-hop fields, the fields named in Connection and those that frame a body.
/// Thread safety: any thread.
HttpHeaders endToEndHeaders(const HttpHeaders &headers);

} // namespace cowsliphead
