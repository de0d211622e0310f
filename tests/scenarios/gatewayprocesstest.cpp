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

/// A temporary settings file for a gateway whose store and platform are unreachable.
class GatewaySettingsFile
{
public:
    GatewaySettingsFile()
        : path_(std::filesystem::temp_directory_path() / "cowsliphead-gateway-XXXXXX")
    {
        auto name = path_.string();
        close(mkstemp(name.data()));
        path_ = name;
        write(54);
    }

    ~GatewaySettingsFile()
    {
        std::filesystem::remove(path_);
    }

    GatewaySettingsFile(const GatewaySettingsFile &) = delete;
    GatewaySettingsFile &operator=(const GatewaySettingsFile &) = delete;

    std::string name() const
    {
        return path_.string();
    }

    /// Rewrites the file with another value, so that a reload logs a change.
    void setRetryReserve(int retryReserve)
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

BOOST_AUTO_TEST_SUITE(that_received_a_stop_signal)

BOOST_AUTO_TEST_CASE(completes_its_shutdown_after_a_second_signal)
{
    // A second signal during the shutdown used to end the process immediately (namib-verse, hunt-65f8-15).
    for (const int secondSignal : { SIGTERM, SIGHUP, SIGINT }) {
        const GatewaySettingsFile settings;
        ChildProcess gateway(program(), { "gateway", "--config", settings.name() }, "");
        gateway.signal(SIGTERM);
        std::this_thread::sleep_for(200ms);
        gateway.signal(secondSignal);
        BOOST_TEST(gateway.waitForExit(6000ms).value_or(-1) == 0);
    }
}

BOOST_AUTO_TEST_CASE(exits_when_nobody_reads_its_log)
{
    // Each reload logs a line, and nobody empties the pipe that the lines go to.
    GatewaySettingsFile settings;
    ChildProcess gateway(program(), { "gateway", "--config", settings.name() }, "");
    for (int change = 0; change < 60; ++change) {
        settings.setRetryReserve(100 + change);
        gateway.signal(SIGHUP);
        std::this_thread::sleep_for(10ms);
    }
    gateway.signal(SIGTERM);
    BOOST_TEST(gateway.waitForExit(6000ms).value_or(-1) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
