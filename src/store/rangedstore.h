#pragma once

#include "store/store.h"
#include "store/storerange.h"

namespace cowsliphead
{

/// A store whose pages tell its revision, so that a watch can go on from them.
template <typename T>
concept RangedStore = Store<T> && requires(T &store, std::string text, StoreReply<StoreRange> ranged)
{
    store.range(text, text, ranged);
};

} // namespace cowsliphead
