#pragma once

#include <compare>
#include <cstdint>
#include <ostream>

#include "store/storeera.h"

namespace cowsliphead
{

/// Orders what the store says: its counter of writes, within an era. In a later era the store gives out counter values again, so a fact of an
/// earlier era is older whatever its number is. As the revision of a key, number 0 means that the key is absent. Thread safety: as any value type.
struct StoreRevision {
    constexpr StoreRevision() = default;

    /// A revision of a store that tells no era.
    constexpr StoreRevision(std::uint64_t number) // NOLINT(google-explicit-constructor): such a store's revisions are plain numbers
        : number_(number)
    {
    }

    constexpr StoreRevision(StoreEra era, std::uint64_t number)
        : era_(era)
        , number_(number)
    {
    }

    constexpr bool isNone() const
    {
        return number_ == 0;
    }

    /// The store's next revision in the same era.
    constexpr StoreRevision &operator++()
    {
        ++number_;
        return *this;
    }

    auto operator<=>(const StoreRevision &) const = default;

    StoreEra era_ = 0;
    std::uint64_t number_ = 0;
};

/// Writes ERA.NUMBER. Thread safety: the stream's owner only.
inline std::ostream &operator<<(std::ostream &stream, const StoreRevision &revision)
{
    return stream << revision.era_ << '.' << revision.number_;
}

} // namespace cowsliphead
