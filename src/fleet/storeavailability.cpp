#include "fleet/storeavailability.h"

#include <algorithm>
#include <utility>

#include "logs/log.h"

namespace cowsliphead
{

namespace
{

/// Upper bound on the time between the store's recovery and the return of an entry that expired during the outage.
constexpr std::chrono::milliseconds ReregistrationGrace{ 2000 };

/// No entry expires in a shorter outage, such as the loss of one connection.
constexpr std::chrono::milliseconds MinOutageForExpiry{ 1000 };

/// Entries whose removal is read within this time after the store's recovery expired during the outage. A later removal means that the
/// endpoint has left.
constexpr std::chrono::milliseconds ExpiryReadWindow{ 400 };

} // namespace

StoreAvailability::StoreAvailability(const char *reader)
    : reader_(reader)
{
}

void StoreAvailability::resumeFrom(const StoreRevision &revision)
{
    era_ = revision.era_;
}

void StoreAvailability::answered(const StoreRevision &revision, MonotonicTime now)
{
    const auto eraBefore = std::exchange(era_, std::max(era_, revision.era_));
    const bool isNewEra = eraBefore != 0 && eraBefore != era_;
    if (isNewEra) {
        recoveredAt_.reset();
        logEvent(LogEvent::StoreEraChanged, { { "reader", reader_ }, { "era", era_ }, { "eraBefore", eraBefore }, { "revision", revision.number_ } });
    }
    if (!std::exchange(isUnavailable_, false)) {
        return;
    }
    const auto awayFor = std::chrono::duration_cast<std::chrono::milliseconds>(now - unavailableSince_);
    if (awayFor >= MinOutageForExpiry && !isNewEra) {
        recoveredAt_ = now;
    }
    logEvent(LogEvent::StoreRegained, { { "reader", reader_ }, { "revision", revision.number_ }, { "awayMs", std::uint64_t(awayFor.count()) } });
}

void StoreAvailability::failed(std::error_code error, const StoreRevision &revision, MonotonicTime now)
{
    if (!std::exchange(isUnavailable_, true)) {
        unavailableSince_ = now;
        logEvent(LogEvent::StoreLost, { { "reader", reader_ }, { "error", error.message() }, { "revision", revision.number_ } });
    }
}

std::optional<MonotonicTime> StoreAvailability::reregistrationDeadline(MonotonicTime now) const
{
    if (recoveredAt_ && now - *recoveredAt_ < ExpiryReadWindow) {
        return *recoveredAt_ + ReregistrationGrace;
    }
    return std::nullopt;
}

} // namespace cowsliphead
