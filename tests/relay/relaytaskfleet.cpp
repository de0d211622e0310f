#include "relaytaskfleet.h"

using namespace cowsliphead;

RelayTaskFleet::RelayTaskFleet()
{
    StoreWrite write;
    write.key_ = PlatformFleetCodec::configurationKey();
    write.value_ = R"({"version":1,"routes":[],"services":[]})";
    content_->compareAndSwap(write, clock_.now());
}

void RelayTaskFleet::start(const std::string &name, const std::string &domain)
{
    auto &gateway = gateways_[name];
    RelayLinks links;
    links.loadQueries_ =
        Address<LoadQuery>([this, &gateway](const LoadQuery &query) { loop_.defer([query, load = gateway.reported_] { query.answerTo_.send(load); }); });
    links.loads_ = Address<FleetLoad>([&gateway](FleetLoad load) { gateway.told_ = std::move(load); });
    links.localLoads_ = Address<LocalLoad>([&gateway](LocalLoad load) {
        if (gateway.task_) {
            gateway.task_->receive(std::move(load));
        }
    });
    gateway.task_ = std::make_unique<RelayBehaviour<SharedStore, PlatformFleetCodec, SystemClock>>(
        loop_,
        clock_,
        RelaySettings{ FailureDomain(domain), PeerAddress{ "127.0.0.1", 0 } },
        InstanceId(name),
        [this] { return std::make_unique<SharedStore>(loop_, content_); },
        links);
    gateway.task_->listen();
}

void RelayTaskFleet::startOldRelay(const std::string &name, const std::string &domain)
{
    oldRelay_ = std::make_unique<PeerServer>(loop_, [this](std::string_view /*query*/) { return relaymessagecodec::encode(oldAnswer_); });
    const auto port = *oldRelay_->listen({ "127.0.0.1", 0 });
    oldAnswer_.from_ = GatewayMember{ InstanceId(name), FailureDomain(domain), { "127.0.0.1", port } };
    oldAnswer_.status_.isRelay_ = true;
    oldAnswer_.status_.isFit_ = true;
    oldAnswer_.tellsEras_ = false;
    oldAnswer_.members_ = { oldAnswer_.from_ };
    oldAnswer_.membersVersion_ = 1;
    StoreWrite write;
    write.key_ = relayentrycodec::keyOf(FailureDomain(domain));
    write.value_ = relayentrycodec::toText(oldAnswer_.from_);
    content_->compareAndSwap(write, clock_.now());
}

void RelayTaskFleet::setEra(StoreEra era)
{
    content_->setEra(era);
}

void RelayTaskFleet::kill(const std::string &name)
{
    gateways_.at(name).task_.reset();
}

RelayTaskFleet::Gateway &RelayTaskFleet::gateway(const std::string &name)
{
    return gateways_.at(name);
}

bool RelayTaskFleet::runUntil(const std::function<bool()> &isReached, std::chrono::milliseconds limit)
{
    const auto end = clock_.now() + limit;
    Timer check(loop_, [&] {
        if (isReached() || clock_.now() >= end) {
            loop_.stop();
        }
    });
    check.startRepeating(CheckInterval);
    loop_.run();
    return isReached();
}
