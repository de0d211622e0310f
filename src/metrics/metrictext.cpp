#include "metrics/metrictext.h"

#include <boost/algorithm/string/replace.hpp>

#include "metrics/gauge.h"

namespace cowsliphead
{

namespace
{

std::string escaped(std::string value)
{
    boost::algorithm::replace_all(value, "\\", "\\\\");
    boost::algorithm::replace_all(value, "\"", "\\\"");
    boost::algorithm::replace_all(value, "\n", "\\n");
    return value;
}

} // namespace

std::string metricHeader(const std::string &name, const std::string &help, const std::string &type)
{
    return "# HELP " + name + " " + help + "\n# TYPE " + name + " " + type + "\n";
}

std::string labelText(const MetricLabels &labels)
{
    std::string text;
    for (const auto &[name, value] : labels) {
        text += (text.empty() ? "{" : ",") + name + "=\"" + escaped(value) + "\"";
    }
    return text.empty() ? text : text + "}";
}

std::string gaugeText(const std::string &name, const std::string &help, std::uint64_t value)
{
    return metricHeader(name, help, "gauge") + name + " " + std::to_string(value) + "\n";
}

} // namespace cowsliphead
