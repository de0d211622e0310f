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

/// Blocking client with which operators read and change the records. Each call waits for the store's answer. Thread safety: owner only.
class OperatorClient
{
public:
    explicit OperatorClient(const StoreSettings &settings);

    /// Validates and writes a record. Returns the revision at which it is in force.
    /// Errors: RecordMalformed and RecordSchemaUnknown with the location, StoreUnavailable (it may have taken effect).
    tl::expected<Revision, InputError> put(const std::string &text);

    /// Withdraws a record. Errors: RecordUnknown, StoreUnavailable (it may have taken effect).
    Result<Revision> withdraw(const RecordKey &key);

    /// All records in force. Errors: StoreUnavailable.
    Result<RecordSnapshot> records();

private:
    Result<Revision> append(Change change);

    EventLoop loop_;
    HttpStore store_;
};

} // namespace cowsliphead
