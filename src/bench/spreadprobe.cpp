#include "bench/spreadprobe.h"

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

SpreadProbe::SpreadProbe(const std::vector<std::uint16_t> &ports)
    : poll_(loop_, [this] { askAll(); })
    , timeout_(loop_, [this] { loop_.stop(); })
{
    for (const auto port : ports) {
        daemons_.emplace_back().client_ = std::make_unique<HttpClient>(loop_, "127.0.0.1", port, CallTimeout);
    }
}

SpreadProbe::~SpreadProbe() = default;

std::size_t SpreadProbe::await(const std::string &key, int status, MonotonicTime begin, std::chrono::milliseconds longest)
{
    key_ = key;
    status_ = status;
    begin_ = begin;
    left_ = daemons_.size();
    for (auto &daemon : daemons_) {
        daemon.isDone_ = false;
    }
    poll_.startRepeating(PollInterval);
    timeout_.startOnce(longest);
    askAll();
    loop_.run();
    poll_.cancel();
    timeout_.cancel();
    return left_;
}

const LatencyHistogram &SpreadProbe::times() const
{
    return times_;
}

void SpreadProbe::askAll()
{
    for (auto &daemon : daemons_) {
        if (!daemon.isAsked_ && !daemon.isDone_) {
            ask(daemon);
        }
    }
}

void SpreadProbe::ask(Daemon &daemon)
{
    daemon.isAsked_ = true;
    HttpRequest request;
    request.path_ = "/v1/models";
    request.headers_.emplace_back("Authorization", "Bearer " + key_);
    const auto status = std::make_shared<int>(0);
    HttpCallEvents events;
    events.onHead_ = [status](const HttpResponseHead &head) { *status = head.status_; };
    events.onEnd_ = [this, &daemon, status](const tl::expected<void, HttpCallFailure> & /*end*/) { take(daemon, *status); };
    daemon.client_->call(request, std::move(events));
}

void SpreadProbe::take(Daemon &daemon, int status)
{
    daemon.isAsked_ = false;
    if (daemon.isDone_ || status != status_) {
        return;
    }
    daemon.isDone_ = true;
    times_.add(clock_.now() - begin_);
    --left_;
    if (left_ == 0) {
        loop_.stop();
    }
}

} // namespace cowsliphead
