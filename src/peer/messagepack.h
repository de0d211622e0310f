#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include <msgpack.hpp>

#include "core/errorcode.h"
#include "core/result.h"

namespace cowsliphead::messagepack
{

/// Encodes a value with MSGPACK_DEFINE_MAP. Thread safety: any thread.
template <typename Wire>
std::string pack(const Wire &wire)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, wire);
    return { buffer.data(), buffer.size() };
}

/// Limits on what a message may claim to hold, so that a malformed one cannot exhaust the memory.
inline const msgpack::unpack_limit &limits()
{
    constexpr std::size_t MaxItems = 1U << 16U;
    constexpr std::size_t MaxBytes = 1U << 23U;
    constexpr std::size_t MaxDepth = 12;
    static const msgpack::unpack_limit limit(MaxItems, MaxItems, MaxBytes, MaxBytes, MaxBytes, MaxDepth);
    return limit;
}

/// Reverses pack(); fields that the type does not know are ignored. Errors: CodecMalformed. Thread safety: any thread.
template <typename Wire>
Result<Wire> unpack(std::string_view bytes)
{
    try {
        return msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limits()).get().as<Wire>();
    } catch (const msgpack::unpack_error &) {
        return failure(ErrorCode::CodecMalformed);
    } catch (const msgpack::type_error &) {
        return failure(ErrorCode::CodecMalformed);
    }
}

} // namespace cowsliphead::messagepack
