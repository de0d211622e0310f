#pragma once

#include <string>

#include "core/modelid.h"

namespace cowsliphead
{

/// A fine-tuning adapter and the base model that it is applied to.
struct AdapterRecord {
    std::string adapter_;
    ModelId model_;
    std::string version_;
};

} // namespace cowsliphead
