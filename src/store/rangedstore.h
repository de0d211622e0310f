#pragma once

#include "store/store.h"
#include "store/storerange.h"

namespace cowsliphead
{

/// A store that reads ranges of keys in pages that include its revision, so that a watch can continue from them, and that erases several
/// keys in one call.
template <typename T>
concept RangedStore =
    Store<T> && requires(T &store, std::string text, StoreReply<StoreRange> ranged, std::vector<std::string> keys, StoreReply<StoreRevision> erased)
{
    store.range(text, text, ranged);
    store.erase(keys, erased);
};

} // namespace cowsliphead
