#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include "http/httpheaders.h"

namespace cowsliphead
{

/// Bytes of all field names and values. Thread safety: any thread.
std::size_t headSizeOf(const HttpHeaders &headers);

/// The body size that the fields announce, 0 without one. Thread safety: any thread.
std::uint64_t announcedBodySize(const HttpHeaders &headers);

/// True if there is exactly one Host field and it is not empty. Thread safety: any thread.
bool isSoundHost(const HttpHeaders &headers);

/// True if the sender closes the connection after this message. Thread safety: any thread.
bool asksToClose(const HttpHeaders &headers);

/// True if the sender waits for an interim answer before it sends the body. Thread safety: any thread.
bool expectsContinue(const HttpHeaders &headers);

/// How long the sender keeps an idle connection, where it says so. Thread safety: any thread.
std::optional<std::chrono::seconds> keepAliveTimeout(const HttpHeaders &headers);

/// The fields that are passed on: without those of one connection and without a body's framing. Thread safety: any thread.
HttpHeaders endToEndHeaders(const HttpHeaders &headers);

} // namespace cowsliphead
