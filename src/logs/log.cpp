#include "logs/log.h"

#include <chrono>
#include <future>
#include <iostream>
#include <memory>
#include <thread>

#include <boost/core/null_deleter.hpp>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <nlohmann/json.hpp>

#include "core/systemclock.h"
#include "logs/eventcatalogue.h"
#include "logs/eventdescription.h"
#include "logs/logsetup.h"
#include "logs/routinelimit.h"

namespace cowsliphead
{

namespace
{

/// Lines that wait for the reader of standard output; at the usual length some hundred kilobytes.
constexpr std::size_t LongestQueue = 2048;

/// What a process that ends waits for the reader of its log.
constexpr std::chrono::milliseconds FlushTime{ 300 };

using QueuedSink = boost::log::sinks::asynchronous_sink<boost::log::sinks::text_ostream_backend,
                                                        boost::log::sinks::bounded_fifo_queue<LongestQueue, boost::log::sinks::drop_on_overflow>>;
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

/// Set once, before any task is started.
std::string &processName()
{
    static std::string name;
    return name;
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
    if (!processName().empty()) {
        line["instance"] = processName();
    }
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

void logRateLimited(LogEvent event, std::initializer_list<LogField> fields)
{
    thread_local RoutineLimit limit;
    if (!limit.admits(SystemClock().now())) {
        return;
    }
    if (const auto omitted = limit.takeOmitted(); omitted > 0) {
        logEvent(LogEvent::LinesOmitted, { { "lines", omitted } });
    }
    logEvent(event, fields);
}

void setUpLogging(LogFormat format, LogLevel lowest, LogTarget target)
{
    chosenFormat() = format;
    const auto core = boost::log::core::get();
    if (target == LogTarget::StandardError) {
        boost::log::add_console_log(std::cerr, boost::log::keywords::auto_flush = true);
    } else {
        const auto backend = boost::make_shared<boost::log::sinks::text_ostream_backend>();
        backend->add_stream(boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
        backend->auto_flush(true);
        core->add_sink(boost::make_shared<QueuedSink>(backend));
    }
    core->set_filter(boost::log::expressions::attr<LogLevel>("Severity") >= lowest);
}

void setLogInstance(const std::string &instance)
{
    processName() = instance;
}

bool flushLog()
{
    auto flushed = std::make_shared<std::promise<void>>();
    const auto done = flushed->get_future();
    std::thread([flushed] {
        boost::log::core::get()->flush();
        flushed->set_value();
    }).detach();
    if (done.wait_for(FlushTime) == std::future_status::timeout) {
        return false;
    }
    boost::log::core::get()->remove_all_sinks();
    return true;
}

} // namespace cowsliphead
