#include "operate/embeddedaccess.h"

#include <nlohmann/json.hpp>

namespace cowsliphead
{

namespace
{

std::string urlOf(std::uint16_t port)
{
    return "http://127.0.0.1:" + std::to_string(port);
}

} // namespace

std::string EmbeddedAccess::toJson() const
{
    const nlohmann::ordered_json line = { { "url", urlOf(port_) }, { "account", account_ }, { "key", key_ } };
    return line.dump();
}

std::string EmbeddedAccess::curlCommand() const
{
    return "curl -N " + urlOf(port_) + "/v1/chat/completions -H 'Authorization: Bearer " + key_
        + R"(' -H 'Content-Type: application/json' -d '{"model":"small","stream":true,"messages":[{"role":"user","content":"Hello"}]}')";
}

} // namespace cowsliphead
