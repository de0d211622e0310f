#pragma once

#include <string>

namespace cowsliphead
{

/// A new key and the record that grants it. The key itself is kept nowhere.
struct CreatedKey {
    std::string key_;
    std::string recordText_;
};

} // namespace cowsliphead
