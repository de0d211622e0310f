#include "gateway/bufferlimit.h"

#include <algorithm>

#include <malloc.h>
#include <sys/sysinfo.h>

namespace cowsliphead
{

namespace
{

/// A body may stand in several buffers of its way at once, and the kernel's buffers count as well.
constexpr std::uint64_t ShareOfMemory = 4;

/// Enough for the longest answers to several callers at once, also on a machine with far more memory.
constexpr std::uint64_t LargestLimit = std::uint64_t(32) << 20U;

/// Buffers from this size on are mapped one by one.
constexpr int LargeBuffer = 128 << 10;

std::uint64_t machineMemory()
{
    struct sysinfo info {
    };
    if (sysinfo(&info) != 0) {
        return LargestLimit * ShareOfMemory;
    }
    return std::uint64_t(info.totalram) * info.mem_unit;
}

} // namespace

std::size_t bufferLimitOf(std::optional<std::uint64_t> memory)
{
    return std::min(memory.value_or(machineMemory()) / ShareOfMemory, LargestLimit);
}

void returnLargeBuffers()
{
    mallopt(M_MMAP_THRESHOLD, LargeBuffer);
}

} // namespace cowsliphead
