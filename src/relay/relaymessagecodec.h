#pragma once

#include <string>
#include <string_view>

#include "core/result.h"
#include "relay/relayanswer.h"
#include "relay/relayquery.h"

namespace cowsliphead::relaymessagecodec
{

/// Encodes the messages between gateways as MessagePack maps with short keys; maps let a newer version add fields. Thread safety: any
/// thread.
std::string encode(const RelayQuery &query);
std::string encode(const RelayAnswer &answer);

/// Errors: CodecMalformed. Thread safety: any thread.
Result<RelayQuery> decodeQuery(std::string_view bytes);
Result<RelayAnswer> decodeAnswer(std::string_view bytes);

} // namespace cowsliphead::relaymessagecodec
