#pragma once

#include <string>
#include <string_view>

#include "core/result.h"
#include "peer/recordanswer.h"
#include "peer/recordquery.h"

namespace cowsliphead
{

/// Encodes the messages between daemons as MessagePack maps with short keys; maps let a newer version add fields.
/// Thread safety: any thread.
namespace peercodec
{

std::string encode(const RecordQuery &query);
std::string encode(const RecordAnswer &answer);
/// Errors: CodecMalformed.
Result<RecordQuery> decodeQuery(std::string_view bytes);
/// Errors: CodecMalformed.
Result<RecordAnswer> decodeAnswer(std::string_view bytes);

} // namespace peercodec

} // namespace cowsliphead
