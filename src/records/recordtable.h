#pragma once

#include <array>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "records/record.h"

namespace cowsliphead
{

/// Immutable hash table of the records of one kind by name. A change gives a new table that shares all buckets but one.
/// Thread safety: any thread.
class RecordTable
{
public:
    using RecordPointer = std::shared_ptr<const Record>;

    /// A copy of the table with the record added, in place of any with the same name.
    std::shared_ptr<const RecordTable> with(const RecordPointer &record) const;
    /// A copy of the table without the record with that name.
    std::shared_ptr<const RecordTable> without(const std::string &name) const;

    /// The record with that name; null if there is none.
    RecordPointer find(const std::string &name) const;
    std::size_t size() const;
    /// All records, sorted by name.
    std::vector<RecordPointer> sorted() const;

private:
    /// Sorted by name.
    using Bucket = std::vector<RecordPointer>;

    static constexpr std::size_t BucketCount = 128;

    static std::size_t bucketIndex(const std::string &name);
    static Bucket::const_iterator lowerBound(const Bucket &bucket, const std::string &name);
    /// A copy of the table with one bucket replaced.
    std::shared_ptr<const RecordTable> withBucket(std::size_t index, Bucket bucket) const;

    std::array<std::shared_ptr<const Bucket>, BucketCount> buckets_;
};

} // namespace cowsliphead
