#pragma once

#include <array>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "records/record.h"

namespace cowsliphead
{

/// The records of one kind by name. It never changes; a change gives a new table that shares all buckets but one.
class RecordTable
{
public:
    using RecordPointer = std::shared_ptr<const Record>;

    /// The table with the record put in, in place of one of the same name. Thread safety: any thread.
    std::shared_ptr<const RecordTable> with(const RecordPointer &record) const;
    /// The table without the record of that name. Thread safety: any thread.
    std::shared_ptr<const RecordTable> without(const std::string &name) const;

    /// Null if there is none. Thread safety: any thread.
    RecordPointer find(const std::string &name) const;
    /// Thread safety: any thread.
    std::size_t size() const;
    /// All records, sorted by name. Thread safety: any thread.
    std::vector<RecordPointer> sorted() const;

private:
    /// Sorted by name.
    using Bucket = std::vector<RecordPointer>;

    static constexpr std::size_t BucketCount = 128;

    static std::size_t bucketOf(const std::string &name);
    static Bucket::const_iterator placeIn(const Bucket &bucket, const std::string &name);
    std::shared_ptr<const RecordTable> replaced(std::size_t index, Bucket bucket) const;

    std::array<std::shared_ptr<const Bucket>, BucketCount> buckets_;
};

} // namespace cowsliphead
