#pragma once

#include <string>

#include <tl/expected.hpp>

#include "records/inputerror.h"
#include "records/record.h"

namespace cowsliphead
{

/// The schema version that this program writes. It reads this version and the previous one.
constexpr int CurrentSchema = 2;

/// The oldest schema version that this program reads.
constexpr int OldestSchema = 1;

/// Parses and validates a record written by an operator; unknown fields and kinds are errors. Thread safety: any thread.
/// Errors: RecordMalformed with the location, RecordSchemaUnknown for a version that this program cannot read.
tl::expected<Record, InputError> parseRecord(const std::string &text);

/// Parses a record that is already in force. A record of an unknown kind or a newer schema, or with an invalid field, is kept as text
/// with an empty body; unknown fields are ignored. Thread safety: any thread.
/// Errors: RecordMalformed if the text is not JSON or its kind, name or schema cannot be read.
tl::expected<Record, InputError> parseStoredRecord(const std::string &text);

} // namespace cowsliphead
