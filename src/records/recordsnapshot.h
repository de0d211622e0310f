#pragma once

#include <memory>

namespace cowsliphead
{

class RecordSet;

/// A set of records shared between tasks. It is immutable, so that no lock is needed.
using RecordSnapshot = std::shared_ptr<const RecordSet>;

} // namespace cowsliphead
