#pragma once

#include <string>

#include "core/modelid.h"

namespace cowsliphead
{

/// An adapter on top of a model.
struct AdapterRecord {
    std::string adapter_;
    ModelId model_;
    std::string version_;
};

} // namespace cowsliphead
