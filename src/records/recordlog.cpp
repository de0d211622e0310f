#include "records/recordlog.h"

#include "records/change.h"
#include "records/recordset.h"

namespace cowsliphead
{

RecordLog::RecordLog()
    : snapshot_(std::make_shared<const RecordSet>())
{
}

bool RecordLog::apply(const Change &change)
{
    if (change.revision_ != revision() + 1) {
        return false;
    }
    snapshot_ = snapshot_->after(change);
    return true;
}

const RecordSnapshot &RecordLog::snapshot() const
{
    return snapshot_;
}

Revision RecordLog::revision() const
{
    return snapshot_->revision();
}

} // namespace cowsliphead
