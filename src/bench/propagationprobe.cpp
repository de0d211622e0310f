#include "bench/propagationprobe.h"

#include "http/httpcall.h"
#include "http/httpclient.h"
#include "http/httprequest.h"

namespace cowsliphead
{

namespace
{

constexpr std::chrono::milliseconds PollInterval{ 2 };
constexpr std::chrono::seconds CallTimeout{ 10 };

} // namespace

PropagationProbe::PropagationProbe(const std::vector<std::uint16_t> &ports)
    : pollTimer_(loop_, [this] { pollDaemons(); })
    , timeout_(loop_, [this] { loop_.stop(); })
{
    for (const auto port : ports) {
        daemons_.emplace_back().client_ = std::make_unique<HttpClient>(loop_, "127.0.0.1", port, CallTimeout);
    }
}

PropagationProbe::~PropagationProbe() = default;

std::size_t PropagationProbe::waitForStatus(const std::string &key, int status, MonotonicTime startTime, std::chrono::milliseconds timeout)
{
    key_ = key;
    expectedStatus_ = status;
    startTime_ = startTime;
    remainingDaemons_ = daemons_.size();
    for (auto &daemon : daemons_) {
        daemon.isDone_ = false;
    }
    pollTimer_.startRepeating(PollInterval);
    timeout_.startOnce(timeout);
    pollDaemons();
    loop_.run();
    pollTimer_.cancel();
    timeout_.cancel();
    return remainingDaemons_;
}

const LatencyHistogram &PropagationProbe::propagationTimes() const
{
    return propagationTimes_;
}

void PropagationProbe::pollDaemons()
{
    for (auto &daemon : daemons_) {
        if (!daemon.isAwaitingAnswer_ && !daemon.isDone_) {
            poll(daemon);
        }
    }
}

void PropagationProbe::poll(Daemon &daemon)
{
    daemon.isAwaitingAnswer_ = true;
    HttpRequest request;
    request.path_ = "/v1/models";
    request.headers_.emplace_back("Authorization", "Bearer " + key_);
    const auto status = std::make_shared<int>(0);
    HttpCallEvents events;
    events.onHead_ = [status](const HttpResponseHead &head) { *status = head.status_; };
    events.onEnd_ = [this, &daemon, status](const tl::expected<void, HttpCallFailure> & /*end*/) { handleStatus(daemon, *status); };
    daemon.client_->call(request, std::move(events));
}

void PropagationProbe::handleStatus(Daemon &daemon, int status)
{
    daemon.isAwaitingAnswer_ = false;
    if (daemon.isDone_ || status != expectedStatus_) {
        return;
    }
    daemon.isDone_ = true;
    propagationTimes_.add(clock_.now() - startTime_);
    --remainingDaemons_;
    if (remainingDaemons_ == 0) {
        loop_.stop();
    }
}

} // namespace cowsliphead
