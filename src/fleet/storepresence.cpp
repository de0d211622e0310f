#include "fleet/storepresence.h"

#include <utility>

#include "logs/log.h"

namespace cowsliphead
{

namespace
{

/// Bound of the time, from the store's return, that an entry which lapsed while it was away takes to come back.
constexpr std::chrono::milliseconds ReturnGrace{ 2000 };

/// No entry lapses in a shorter absence, as when one connection is lost.
constexpr std::chrono::milliseconds ShortestLapse{ 1000 };

/// Removals that are read this long after the store's return lapsed while it was away; a later one is an endpoint that leaves.
constexpr std::chrono::milliseconds LapseReading{ 400 };

} // namespace

StorePresence::StorePresence(const char *reader)
    : reader_(reader)
{
}

void StorePresence::answered(StoreRevision revision, MonotonicTime now)
{
    if (!std::exchange(isAway_, false)) {
        return;
    }
    const auto awayFor = std::chrono::duration_cast<std::chrono::milliseconds>(now - awaySince_);
    if (awayFor >= ShortestLapse) {
        regainedAt_ = now;
    }
    logEvent(LogEvent::StoreRegained, { { "reader", reader_ }, { "revision", revision }, { "awayMs", std::uint64_t(awayFor.count()) } });
}

void StorePresence::failed(std::error_code error, StoreRevision revision, MonotonicTime now)
{
    if (!std::exchange(isAway_, true)) {
        awaySince_ = now;
        logEvent(LogEvent::StoreLost, { { "reader", reader_ }, { "error", error.message() }, { "revision", revision } });
    }
}

std::optional<MonotonicTime> StorePresence::lapsedUntil(MonotonicTime now) const
{
    if (regainedAt_ && now - *regainedAt_ < LapseReading) {
        return *regainedAt_ + ReturnGrace;
    }
    return std::nullopt;
}

} // namespace cowsliphead
