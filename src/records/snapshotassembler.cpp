#include "records/snapshotassembler.h"

#include <utility>

#include "records/parserecord.h"
#include "records/recordset.h"

namespace cowsliphead
{

RecordSnapshot SnapshotAssembler::add(const SnapshotPart &part)
{
    if (part.revision_ != revision_) {
        clear();
        revision_ = part.revision_;
    }
    for (const auto &text : part.texts_) {
        if (auto record = parseStoredRecord(text)) {
            records_.push_back(std::make_shared<const Record>(std::move(*record)));
        }
    }
    if (!part.isLast_) {
        return nullptr;
    }
    auto whole = std::make_shared<const RecordSet>(revision_, records_);
    clear();
    return whole;
}

Revision SnapshotAssembler::revision() const
{
    return revision_;
}

RecordKey SnapshotAssembler::lastKey() const
{
    return records_.empty() ? RecordKey() : records_.back()->key_;
}

void SnapshotAssembler::clear()
{
    revision_ = 0;
    records_.clear();
}

} // namespace cowsliphead
