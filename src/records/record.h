#pragma once

#include <string>

#include "records/recordbody.h"
#include "records/recordkey.h"

namespace cowsliphead
{

/// A record as an operator wrote it, with what this program understands of it.
struct Record {
    RecordKey key_;
    int schema_ = 0;

    /// The JSON text, unchanged, so that what this program does not know is passed on unharmed.
    std::string text_;
    RecordBody body_;
};

} // namespace cowsliphead
