#include "logs/log.h"

#include <chrono>

#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <nlohmann/json.hpp>

#include "logs/eventcatalogue.h"
#include "logs/eventdescription.h"
#include "logs/logsetup.h"

namespace cowsliphead
{

namespace
{

using Logger = boost::log::sources::severity_logger<LogLevel>;

const char *levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        break;
    }
    return "error";
}

/// Set once, before any task is started.
LogFormat &chosenFormat()
{
    static LogFormat format = LogFormat::Text;
    return format;
}

std::int64_t nowInMicroseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

nlohmann::ordered_json valueOf(const LogField &field)
{
    return std::visit([](const auto &value) { return nlohmann::ordered_json(value); }, field.value_);
}

std::string jsonLine(const EventDescription &description, std::initializer_list<LogField> fields)
{
    nlohmann::ordered_json line = {
        { "timeUs", nowInMicroseconds() },
        { "level", levelName(description.level_) },
        { "event", static_cast<int>(description.event_) },
        { "name", description.name_ },
    };
    for (const auto &field : fields) {
        line[std::string(field.name_)] = valueOf(field);
    }
    return line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

std::string textLine(const EventDescription &description, std::initializer_list<LogField> fields)
{
    std::string line = std::to_string(nowInMicroseconds()) + " " + levelName(description.level_) + " " + std::to_string(static_cast<int>(description.event_))
        + " " + description.name_;
    for (const auto &field : fields) {
        line += " " + std::string(field.name_) + "=" + valueOf(field).dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
    }
    return line;
}

} // namespace

void logEvent(LogEvent event, std::initializer_list<LogField> fields)
{
    const auto &description = describeEvent(event);
    thread_local Logger logger;
    BOOST_LOG_SEV(logger, description.level_) << (chosenFormat() == LogFormat::Json ? jsonLine(description, fields) : textLine(description, fields));
}

void setUpLogging(LogFormat format, LogLevel lowest)
{
    chosenFormat() = format;
    boost::log::add_console_log(std::cerr, boost::log::keywords::auto_flush = true);
    boost::log::core::get()->set_filter(boost::log::expressions::attr<LogLevel>("Severity") >= lowest);
}

} // namespace cowsliphead
