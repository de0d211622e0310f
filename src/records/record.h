#pragma once

#include <string>

#include "records/recordbody.h"
#include "records/recordkey.h"

namespace cowsliphead
{

/// A record: its JSON text as written by an operator and the parsed content.
struct Record {
    RecordKey key_;
    int schema_ = 0;

    /// The JSON text, unchanged, so that fields this program does not know are passed on as they are.
    std::string text_;
    RecordBody body_;
};

} // namespace cowsliphead
