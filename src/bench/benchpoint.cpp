#include "bench/benchpoint.h"

#include <nlohmann/json.hpp>

#include "core/errorcode.h"

namespace cowsliphead
{

std::string BenchPoint::toJson() const
{
    const nlohmann::ordered_json line = { { "series", series_ }, { "size", size_ }, { "values", values_ } };
    return line.dump();
}

Result<BenchPoint> BenchPoint::fromJson(const std::string &line)
{
    try {
        const auto document = nlohmann::json::parse(line);
        return BenchPoint{ document.at("series").get<std::string>(),
                           document.at("size").get<double>(),
                           document.at("values").get<std::map<std::string, double>>() };
    } catch (const nlohmann::json::exception &) {
        return failure(ErrorCode::CodecMalformed);
    }
}

} // namespace cowsliphead
