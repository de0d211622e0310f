#include <array>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "scenarios/childprocess.h"

using cowsliphead::scenarios::ChildProcess;
using namespace std::chrono_literals;

namespace
{

/// The settings file of a gateway whose store and platform do not answer.
class SettingsFile
{
public:
    SettingsFile()
        : path_(std::filesystem::temp_directory_path() / "cowsliphead-gateway-XXXXXX")
    {
        auto name = path_.string();
        close(mkstemp(name.data()));
        path_ = name;
        write(54);
    }

    ~SettingsFile()
    {
        std::filesystem::remove(path_);
    }

    SettingsFile(const SettingsFile &) = delete;
    SettingsFile &operator=(const SettingsFile &) = delete;

    std::string name() const
    {
        return path_.string();
    }

    /// Changes a bound, so that the process has a reload to log.
    void change(int retryReserve)
    {
        write(retryReserve);
    }

private:
    void write(int retryReserve)
    {
        std::ofstream(path_) << R"({ "instance": "front-1", "failureDomain": "a", "callers": "127.0.0.1:0", "readiness": "127.0.0.1:0",)"
                             << R"( "store": "127.0.0.1:1", "platform": "127.0.0.1:1", "stopGraceMs": 4000, "retryReserve": )" << retryReserve << " }";
    }

    std::filesystem::path path_;
};

std::string program()
{
    const char *path = std::getenv("COWSLIPHEAD_PROGRAM");
    return path == nullptr ? "./cowsliphead" : path;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_gateway_process)

BOOST_AUTO_TEST_SUITE(that_was_ordered_to_stop)

BOOST_AUTO_TEST_CASE(finishes_in_order_whatever_signal_follows)
{
    // Found by a hunt (namib-verse, hunt-65f8-15): a second signal during the stop ended the process at once.
    for (const int second : { SIGTERM, SIGHUP, SIGINT }) {
        const SettingsFile settings;
        ChildProcess gateway(program(), { "gateway", "--config", settings.name() }, "");
        gateway.signal(SIGTERM);
        std::this_thread::sleep_for(200ms);
        gateway.signal(second);
        BOOST_TEST(gateway.waitForExit(6000ms).value_or(-1) == 0);
    }
}

BOOST_AUTO_TEST_CASE(ends_although_nobody_reads_its_log)
{
    SettingsFile settings;
    ChildProcess gateway(program(), { "gateway", "--config", settings.name() }, "");
    for (int change = 0; change < 60; ++change) {
        settings.change(100 + change);
        gateway.signal(SIGHUP);
        std::this_thread::sleep_for(10ms);
    }
    gateway.signal(SIGTERM);
    BOOST_TEST(gateway.waitForExit(6000ms).value_or(-1) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
