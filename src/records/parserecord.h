#pragma once

#include <string>

#include <tl/expected.hpp>

#include "records/inputerror.h"
#include "records/record.h"

namespace cowsliphead
{

/// The schema version that this program writes; it reads this one and the one before.
constexpr int CurrentSchema = 2;

/// The oldest schema version that this program reads.
constexpr int OldestSchema = 1;

/// Reads a record that an operator wrote; every firstError is refused. Thread safety: any thread.
/// Errors: RecordMalformed with the place, RecordSchemaUnknown for a version this program cannot read.
tl::expected<Record, InputError> parseRecord(const std::string &text);

/// Reads a record that is already in force. What is not understood is kept as text with an empty body. Thread safety: any thread.
/// Errors: RecordMalformed if even kind and name cannot be read.
tl::expected<Record, InputError> readStoredRecord(const std::string &text);

} // namespace cowsliphead
