#pragma once

#include <map>
#include <string>
#include <vector>

#include "records/recordtable.h"

namespace cowsliphead
{

struct RouteRecord;

/// Finds the route of a path by its longest prefix. It never changes.
class RouteIndex
{
public:
    RouteIndex() = default;
    /// Of two routes with the same prefix the first by name counts. Thread safety: any thread.
    explicit RouteIndex(std::vector<RecordTable::RecordPointer> records);

    /// Null if no route's prefix fits. Thread safety: any thread.
    const RouteRecord *find(const std::string &path) const;

private:
    /// Keeps what the map points to.
    std::vector<RecordTable::RecordPointer> records_;
    std::map<std::string, const RouteRecord *, std::less<>> routes_;
};

} // namespace cowsliphead
