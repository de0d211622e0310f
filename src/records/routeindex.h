#pragma once

#include <map>
#include <string>
#include <vector>

#include "records/recordtable.h"

namespace cowsliphead
{

struct RouteRecord;

/// Immutable index that finds the route of a path by the longest matching prefix. Thread safety: any thread.
class RouteIndex
{
public:
    RouteIndex() = default;
    /// Of several routes with the same prefix, the first in records is used. Precondition: records are sorted by name.
    explicit RouteIndex(std::vector<RecordTable::RecordPointer> records);

    /// Null if no route's prefix matches.
    const RouteRecord *find(const std::string &path) const;

private:
    /// Owns the records that the map points to.
    std::vector<RecordTable::RecordPointer> records_;
    std::map<std::string, const RouteRecord *, std::less<>> routes_;
};

} // namespace cowsliphead
