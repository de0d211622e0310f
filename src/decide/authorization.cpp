#include "decide/authorization.h"

#include "core/errorcode.h"
#include "core/sha256.h"
#include "records/recordset.h"

namespace cowsliphead
{

Result<AccountId> authorize(const RecordSet &records, const std::string &key)
{
    if (records.revision() == 0) {
        return failure(ErrorCode::RecordsNotLoaded);
    }
    if (key.empty()) {
        return failure(ErrorCode::KeyMissing);
    }
    const auto *record = records.key(KeyDigest(sha256Hex(key)));
    if (record == nullptr || records.account(record->account_) == nullptr) {
        return failure(ErrorCode::KeyUnknown);
    }
    return record->account_;
}

} // namespace cowsliphead
