#pragma once

#include <memory>

namespace cowsliphead
{

class RecordSet;

/// A set of records that tasks share; it is immutable, so that sharing needs no lock.
using RecordSnapshot = std::shared_ptr<const RecordSet>;

} // namespace cowsliphead
