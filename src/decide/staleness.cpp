#include "decide/staleness.h"

#include "core/errorcode.h"
#include "records/recordset.h"

namespace cowsliphead
{

Result<void> checkStaleness(const RecordSet &records, const AccountId &account, std::chrono::nanoseconds sinceConfirmed)
{
    const auto *record = account.isEmpty() ? nullptr : records.account(account);
    if (record == nullptr || record->maxStaleness_.count() == 0 || sinceConfirmed <= record->maxStaleness_) {
        return {};
    }
    return failure(ErrorCode::RecordsTooOld);
}

} // namespace cowsliphead
