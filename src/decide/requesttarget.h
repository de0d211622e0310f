#pragma once

#include <string>

#include "core/modelid.h"

namespace cowsliphead
{

/// Which endpoints can take a request: the engines of a model, or the endpoints of a plain service.
struct RequestTarget {
    /// Empty for a plain service.
    ModelId model_;

    /// Empty for a model.
    std::string service_;
};

} // namespace cowsliphead
