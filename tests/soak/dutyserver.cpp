#include "dutyserver.h"

#include <nlohmann/json.hpp>

#include "http1/messagewriter.h"
#include "http1/socketaddress.h"

using namespace cowsliphead;

DutyServer::DutyServer(EventLoop &loop)
    : loop_(loop)
    , listener_(loop, [this](int socket) { accept(socket); })
{
    port_ = *listener_.listen(SocketAddress{ "127.0.0.1", 0 });
}

DutyServer::~DutyServer() = default;

void DutyServer::accept(int socket)
{
    const auto number = ++nextConnection_;
    connections_[number] = std::make_unique<CallerConnection>(loop_,
                                                              socket,
                                                              CallerConnectionLimits(),
                                                              CallerConnectionEvents{
                                                                  .onRequest_ =
                                                                      [this, number](const CallerRequest &request) {
                                                                          const int status = take(request);
                                                                          connections_.at(number)->respond(status, reasonPhrase(status), {}, {});
                                                                      },
                                                                  .onDisconnected_ = [] {},
                                                                  .onRefused_ = [](int /*status*/) {},
                                                                  .onClosed_ = [this, number] { connections_.erase(number); },
                                                              });
}

int DutyServer::take(const CallerRequest &request)
{
    const auto fence = std::stoull(headerValue(request.head_.headers_, "X-Fencing-Token"));
    const auto holder = headerValue(request.head_.headers_, "X-Lease-Holder");
    if (fence < highestFence_) {
        return 409;
    }
    highestFence_ = fence;
    const auto known = holders_.emplace(fence, holder).first;
    if (known->second != holder) {
        findings_.push_back("fencing number " + std::to_string(fence) + " was used by " + known->second + " and " + holder);
    }
    const auto document = nlohmann::json::parse(request.body_);
    const auto window = document.at("windowSeq").get<std::uint64_t>();
    const auto first = counts_.emplace(window, document.at("counts").dump()).first;
    if (first->second != document.at("counts").dump()) {
        findings_.push_back("window " + std::to_string(window) + " was reported with two figures");
    }
    return 200;
}
