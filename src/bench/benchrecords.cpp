#include "bench/benchrecords.h"

#include <nlohmann/json.hpp>

#include "records/parserecord.h"

namespace cowsliphead::benchrecords
{

std::string account(const std::string &name)
{
    const nlohmann::json record = { { "schema", CurrentSchema }, { "kind", "account" }, { "name", name } };
    return record.dump();
}

std::string model(const std::string &name)
{
    const nlohmann::json record = { { "schema", CurrentSchema }, { "kind", "model" }, { "name", name }, { "version", "1" } };
    return record.dump();
}

std::string engine(const std::string &name, std::uint16_t port, const std::string &model)
{
    const nlohmann::json record = {
        { "schema", CurrentSchema },
        { "kind", "endpoint" },
        { "name", name },
        { "host", "127.0.0.1" },
        { "port", port },
        { "failureDomain", "local" },
        { "serves", "engine" },
        { "models", nlohmann::json::array({ model }) },
        { "credential", "credential-of-" + name },
    };
    return record.dump();
}

} // namespace cowsliphead::benchrecords
