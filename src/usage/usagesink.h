#pragma once

#include "decide/usageentry.h"

namespace cowsliphead
{

/// Accepts usage entries and ensures that each is reported exactly once, even if it is submitted more than once or by different senders.
template <typename T>
concept UsageSink = requires(T &sink, const UsageEntry &entry)
{
    sink.handle(entry);
};

} // namespace cowsliphead
