#include "relay/relaymessagecodec.h"

#include "peer/messagepack.h"
#include "relay/wire/wireanswer.h"
#include "relay/wire/wirequery.h"

namespace cowsliphead::relaymessagecodec
{

std::string encode(const RelayQuery &query)
{
    return messagepack::pack(toWire(query));
}

Result<RelayQuery> decodeQuery(std::string_view bytes)
{
    const auto wire = messagepack::unpack<WireQuery>(bytes);
    if (!wire) {
        return tl::unexpected(wire.error());
    }
    return fromWire(*wire);
}

std::string encode(const RelayAnswer &answer)
{
    return messagepack::pack(toWire(answer));
}

Result<RelayAnswer> decodeAnswer(std::string_view bytes)
{
    const auto wire = messagepack::unpack<WireAnswer>(bytes);
    if (!wire) {
        return tl::unexpected(wire.error());
    }
    return fromWire(*wire);
}

} // namespace cowsliphead::relaymessagecodec
