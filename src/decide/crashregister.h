#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/requestdigest.h"
#include "core/time.h"
#include "decide/crashchanges.h"
#include "decide/crashcount.h"
#include "decide/crashreport.h"

namespace cowsliphead
{

/// The requests under which endpoints crashed, as known to one gateway. A request that crashed several endpoints one after the other
/// without being answered in between is quarantined: it is not dispatched any more. Registers converge by exchanging reports in any order,
/// any number of times. Thread safety: owner task only.
class CrashRegister
{
public:
    /// Crashes after which a request is quarantined.
    static constexpr std::uint32_t QuarantineThreshold = 3;

    /// How long a count is kept after its last change.
    static constexpr std::chrono::minutes CountLifetime{ 10 };

    /// Limits the memory that failing endpoints and callers can occupy.
    static constexpr std::size_t MaxCounts = 4096;

    /// True if no request is registered, so that digests need not be computed.
    bool isEmpty() const;

    /// The count to pass to crashed() if a dispatch that begins now ends in a crash.
    CrashCount countOf(const RequestDigest &digest, MonotonicTime now) const;

    /// How much longer the request is quarantined; nothing if it is not.
    std::optional<std::chrono::milliseconds> quarantineLeft(const RequestDigest &digest, MonotonicTime now) const;

    /// An endpoint crashed with the request in hand. atDispatch: the count when the request was dispatched.
    void crashed(const RequestDigest &digest, CrashCount atDispatch, MonotonicTime now);

    /// An endpoint that was taken to have crashed under the request is alive: it only lost the answer.
    void survived(const RequestDigest &digest, MonotonicTime now);

    /// An endpoint answered the request.
    void answered(const RequestDigest &digest, MonotonicTime now);

    /// Takes the counts that are greater than the known ones.
    void merge(const std::vector<CrashReport> &reports, MonotonicTime now);

    /// Increases with each change.
    std::uint64_t version() const;

    /// The counts that changed after a version of this register; 0 for all.
    std::vector<CrashReport> changesAfter(std::uint64_t version, MonotonicTime now) const;

    /// The first changes after a version that another gateway needs; 0 for all. Single crashes are told only while they are recent: after a
    /// failure of many endpoints there are hundreds, and a gateway that comes later can do without them.
    CrashChanges changesFor(std::uint64_t version, MonotonicTime now) const;

private:
    /// How long a single crash is told.
    static constexpr std::chrono::seconds RecentTime{ 10 };

    /// Reports in one message: a few kilobytes, which the smallest links carry beside their load.
    static constexpr std::size_t MaxReports = 64;

    struct Entry {
        CrashCount count_;
        MonotonicTime until_;

        /// The version in which it changed.
        std::uint64_t version_ = 0;
    };

    void raise(const RequestDigest &digest, CrashCount count, std::chrono::milliseconds remaining, MonotonicTime now);
    void makeRoom(MonotonicTime now);

    std::map<RequestDigest, Entry> entries_;

    /// The digests in the order of their last changes.
    std::map<std::uint64_t, RequestDigest> changes_;
    std::uint64_t version_ = 0;
};

} // namespace cowsliphead
