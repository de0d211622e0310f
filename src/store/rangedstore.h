#pragma once

#include "store/store.h"
#include "store/storerange.h"

namespace cowsliphead
{

/// A store whose pages tell its revision, so that a watch can go on from them, and which erases several keys at once.
template <typename T>
concept RangedStore =
    Store<T> && requires(T &store, std::string text, StoreReply<StoreRange> ranged, std::vector<std::string> keys, StoreReply<StoreRevision> erased)
{
    store.range(text, text, ranged);
    store.erase(keys, erased);
};

} // namespace cowsliphead
