#include "bench/benchsummary.h"

#include <set>

#include <nlohmann/json.hpp>

#include "bench/fitpoint.h"
#include "bench/linearfit.h"

namespace cowsliphead
{

namespace
{

using Series = std::map<std::string, std::vector<FitPoint>>;

bool hasSeveralSizes(const std::vector<FitPoint> &points)
{
    std::set<double> sizes;
    for (const auto &point : points) {
        sizes.insert(point.size_);
    }
    return sizes.size() > 1;
}

nlohmann::ordered_json fitToJson(const LinearFit &fit)
{
    return { { "slope", fit.slope_ }, { "intercept", fit.intercept_ }, { "determination", fit.determination_ } };
}

nlohmann::ordered_json fitsOf(const Series &series)
{
    auto fits = nlohmann::ordered_json::object();
    for (const auto &[name, points] : series) {
        if (hasSeveralSizes(points)) {
            fits[name] = fitToJson(fitLine(points));
        }
    }
    return fits;
}

} // namespace

std::string summarize(const std::vector<BenchPoint> &points, const std::string &note)
{
    nlohmann::ordered_json summary = { { "note", note }, { "series", nlohmann::ordered_json::object() } };
    std::map<std::string, Series> all;
    for (const auto &point : points) {
        summary["series"][point.series_]["points"].push_back({ { "size", point.size_ }, { "values", point.values_ } });
        for (const auto &[name, value] : point.values_) {
            all[point.series_][name].push_back({ point.size_, value });
        }
    }
    for (const auto &[name, series] : all) {
        summary["series"][name]["fits"] = fitsOf(series);
    }
    return summary.dump(2);
}

} // namespace cowsliphead
