#include "soakgateway.h"

#include <cstdlib>
#include <fstream>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

/// Returns a port that is free now. The gateway binds the same port at every start, so that callers reach it after a restart.
std::uint16_t freePort()
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof name;
    static_cast<void>(bind(socket, reinterpret_cast<const sockaddr *>(&name), size));
    getsockname(socket, reinterpret_cast<sockaddr *>(&name), &size);
    close(socket);
    return ntohs(name.sin_port);
}

std::string addressOf(std::uint16_t port)
{
    return "\"127.0.0.1:" + std::to_string(port) + "\"";
}

std::string program()
{
    const char *path = std::getenv("COWSLIPHEAD_PROGRAM");
    return path == nullptr ? "./cowsliphead" : path;
}

} // namespace

SoakGateway::SoakGateway(EventLoop &loop, int number, std::uint16_t store, std::uint16_t platform, const std::string &folder, const std::string &domain)
    : storeProxy_(loop, store)
    , port_(freePort())
    , settingsPath_(folder + "/gateway-" + std::to_string(number) + ".json")
    , logPath_(folder + "/gateway-" + std::to_string(number) + ".log")
{
    const auto peer = domain.empty() ? std::string() : R"(, "peer": )" + addressOf(freePort());
    std::ofstream(settingsPath_) << R"({ "instance": "gateway-)" << number << R"(", "failureDomain": ")" << (domain.empty() ? "a" : domain)
                                 << R"(", "callers": )" << addressOf(port_) << peer << R"(, "readiness": "127.0.0.1:0", "store": )"
                                 << addressOf(storeProxy_.port()) << R"(, "platform": )" << addressOf(platform)
                                 << R"(, "stopGraceMs": 4000, "retryReserve": 54, "usageWindowMs": 2000, "usageReportMs": 6000 })";
    start();
}

void SoakGateway::start()
{
    process_ = std::make_unique<scenarios::ChildProcess>(
        program(), std::vector<std::string>{ "gateway", "--config", settingsPath_ }, scenarios::OutputFile{ logPath_ });
}

void SoakGateway::restartIfExited()
{
    if (process_->waitForExit(0ms)) {
        start();
    }
}

void SoakGateway::signal(int number)
{
    process_->signal(number);
}
