#pragma once

#include <memory>
#include <string>

#include <tl/expected.hpp>

#include "core/result.h"
#include "core/revision.h"
#include "records/change.h"
#include "records/inputerror.h"
#include "records/recordsnapshot.h"
#include "store/httpstore.h"
#include "store/storesettings.h"
#include "task/eventloop.h"

namespace cowsliphead
{

/// What an operator does with the records, one call at a time; each call waits for its answer.
class OperatorClient
{
public:
    /// Thread safety: owner only.
    explicit OperatorClient(const StoreSettings &settings);

    /// Writes a record. Returns the revision at which it is in force. Thread safety: owner only.
    /// Errors: RecordMalformed and RecordSchemaUnknown with the place, StoreUnavailable (it may have taken effect).
    tl::expected<Revision, InputError> put(const std::string &text);

    /// Withdraws a record. Errors: RecordUnknown, StoreUnavailable (it may have taken effect). Thread safety: owner only.
    Result<Revision> withdraw(const RecordKey &key);

    /// All records in force. Errors: StoreUnavailable. Thread safety: owner only.
    Result<RecordSnapshot> records();

private:
    Result<Revision> append(Change change);

    EventLoop loop_;
    HttpStore store_;
};

} // namespace cowsliphead
