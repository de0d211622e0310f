#pragma once

#include <string>
#include <string_view>

#include "core/result.h"
#include "peer/recordanswer.h"
#include "peer/recordquery.h"

namespace cowsliphead
{

/// The messages between daemons as bytes: MessagePack maps with short names, so that a newer program can add fields.
namespace peercodec
{

/// Thread safety: any thread.
std::string encode(const RecordQuery &question);
/// Thread safety: any thread.
std::string encode(const RecordAnswer &answer);
/// Errors: CodecMalformed. Thread safety: any thread.
Result<RecordQuery> decodeQuery(std::string_view bytes);
/// Errors: CodecMalformed. Thread safety: any thread.
Result<RecordAnswer> decodeAnswer(std::string_view bytes);

} // namespace peercodec

} // namespace cowsliphead
