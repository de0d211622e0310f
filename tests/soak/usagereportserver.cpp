#include "usagereportserver.h"

#include <nlohmann/json.hpp>

#include "http1/messagewriter.h"
#include "http1/socketaddress.h"

using namespace cowsliphead;

UsageReportServer::UsageReportServer(EventLoop &loop)
    : loop_(loop)
    , listener_(loop, [this](int socket) { accept(socket); })
{
    port_ = *listener_.listen(SocketAddress{ "127.0.0.1", 0 });
}

UsageReportServer::~UsageReportServer() = default;

void UsageReportServer::accept(int socket)
{
    const auto number = ++lastConnectionNumber_;
    connections_[number] = std::make_unique<CallerConnection>(loop_,
                                                              socket,
                                                              CallerConnectionLimits(),
                                                              CallerConnectionEvents{
                                                                  .onRequest_ =
                                                                      [this, number](const CallerRequest &request) {
                                                                          const int status = handleReport(request);
                                                                          connections_.at(number)->respond(status, reasonPhrase(status), {}, {});
                                                                      },
                                                                  .onDisconnected_ = [] {},
                                                                  .onRequestRefused_ = [](int /*status*/) {},
                                                                  .onClosed_ = [this, number] { connections_.erase(number); },
                                                              });
}

int UsageReportServer::handleReport(const CallerRequest &request)
{
    const auto fencingNumber = std::stoull(headerValue(request.head_.headers_, "X-Fencing-Token"));
    const auto holder = headerValue(request.head_.headers_, "X-Lease-Holder");
    if (fencingNumber < highestFencingNumber_) {
        return 409;
    }
    highestFencingNumber_ = fencingNumber;
    const auto recorded = holderOfFencingNumber_.emplace(fencingNumber, holder).first;
    if (recorded->second != holder) {
        violations_.push_back("fencing number " + std::to_string(fencingNumber) + " was used by " + recorded->second + " and " + holder);
    }
    const auto document = nlohmann::json::parse(request.body_);
    const auto window = document.at("windowSeq").get<std::uint64_t>();
    const auto first = countsOfWindow_.emplace(window, document.at("counts").dump()).first;
    if (first->second != document.at("counts").dump()) {
        violations_.push_back("window " + std::to_string(window) + " was reported with different counts");
    }
    return 200;
}
