#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

namespace cowsliphead
{

/// How many bytes the connections of a process may buffer together. memory: what the process may occupy, in bytes; without it, the machine's
/// memory. Thread safety: any thread.
std::size_t bufferLimitOf(std::optional<std::uint64_t> memory);

/// Makes the allocator give large buffers back to the system as soon as they are freed; it would otherwise come to keep those of many megabytes.
/// Precondition: called before the other threads start.
void returnLargeBuffers();

} // namespace cowsliphead
