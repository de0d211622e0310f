#pragma once

#include <string>

#include "core/modelid.h"

namespace cowsliphead
{

/// A model and the version of it that serves new requests.
struct ModelRecord {
    ModelId model_;
    std::string version_;
};

} // namespace cowsliphead
