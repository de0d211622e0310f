#pragma once

#include "decide/usageentry.h"

namespace cowsliphead
{

/// Takes usage entries over and sees to it that each of them is reported once, whoever hands it in and however often.
template <typename T>
concept UsageSink = requires(T &sink, const UsageEntry &entry)
{
    sink.take(entry);
};

} // namespace cowsliphead
