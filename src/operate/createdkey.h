#pragma once

#include <string>

namespace cowsliphead
{

/// A new API key and the JSON text of its record. The record holds only the key's digest; the key itself is not stored.
struct CreatedKey {
    std::string key_;
    std::string recordText_;
};

} // namespace cowsliphead
