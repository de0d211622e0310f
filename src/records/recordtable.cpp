#include "records/recordtable.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace cowsliphead
{

std::shared_ptr<const RecordTable> RecordTable::with(const RecordPointer &record) const
{
    const auto &name = record->key_.name_;
    const auto index = bucketIndex(name);
    Bucket bucket = buckets_[index] ? *buckets_[index] : Bucket();
    const auto position = lowerBound(bucket, name);
    if (position != bucket.end() && (*position)->key_.name_ == name) {
        bucket[static_cast<std::size_t>(position - bucket.begin())] = record;
    } else {
        bucket.insert(position, record);
    }
    return withBucket(index, std::move(bucket));
}

std::shared_ptr<const RecordTable> RecordTable::without(const std::string &name) const
{
    const auto index = bucketIndex(name);
    Bucket bucket = buckets_[index] ? *buckets_[index] : Bucket();
    const auto position = lowerBound(bucket, name);
    if (position != bucket.end() && (*position)->key_.name_ == name) {
        bucket.erase(position);
    }
    return withBucket(index, std::move(bucket));
}

RecordTable::RecordPointer RecordTable::find(const std::string &name) const
{
    const auto &bucket = buckets_[bucketIndex(name)];
    if (!bucket) {
        return nullptr;
    }
    const auto position = lowerBound(*bucket, name);
    return position != bucket->end() && (*position)->key_.name_ == name ? *position : nullptr;
}

std::size_t RecordTable::size() const
{
    std::size_t total = 0;
    for (const auto &bucket : buckets_) {
        total += bucket ? bucket->size() : 0;
    }
    return total;
}

std::vector<RecordTable::RecordPointer> RecordTable::sorted() const
{
    std::vector<RecordPointer> records;
    for (const auto &bucket : buckets_) {
        if (bucket) {
            records.insert(records.end(), bucket->begin(), bucket->end());
        }
    }
    std::sort(records.begin(), records.end(), [](const auto &left, const auto &right) { return left->key_.name_ < right->key_.name_; });
    return records;
}

std::size_t RecordTable::bucketIndex(const std::string &name)
{
    return std::hash<std::string>()(name) % BucketCount;
}

RecordTable::Bucket::const_iterator RecordTable::lowerBound(const Bucket &bucket, const std::string &name)
{
    return std::lower_bound(bucket.begin(), bucket.end(), name, [](const auto &record, const auto &wanted) { return record->key_.name_ < wanted; });
}

std::shared_ptr<const RecordTable> RecordTable::withBucket(std::size_t index, Bucket bucket) const
{
    auto next = std::make_shared<RecordTable>(*this);
    next->buckets_.at(index) = std::make_shared<const Bucket>(std::move(bucket));
    return next;
}

} // namespace cowsliphead
