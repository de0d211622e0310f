#include "standin/storestandin.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "core/errorcode.h"
#include "http/httprequest.h"
#include "http/httpresponder.h"
#include "http/httpstatus.h"
#include "store/storecodec.h"
#include "store/storepaths.h"

namespace cowsliphead
{

namespace
{

constexpr std::size_t MaxListEntries = 1000;

int statusOf(std::error_code code)
{
    if (code == ErrorCode::StoreConflict) {
        return httpstatus::Conflict;
    }
    if (code == ErrorCode::StoreValueTooLarge) {
        return httpstatus::PayloadTooLarge;
    }
    if (code == ErrorCode::StoreLeaseUnknown) {
        return httpstatus::NotFound;
    }
    return httpstatus::BadRequest;
}

} // namespace

StoreStandin::StoreStandin(EventLoop &loop)
    : loop_(loop)
    , expiryTimer_(loop,
                   [this] {
                       store_.expireLeases(clock_.now());
                       answerWatches();
                       scheduleExpiry();
                   })
    , server_(loop, [this](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) { handle(request, responder); })
{
}

StoreStandin::~StoreStandin() = default;

Result<std::uint16_t> StoreStandin::listen(const std::string &address, std::uint16_t port)
{
    return server_.listen(address, port);
}

void StoreStandin::receive(Message /*message*/)
{
}

void StoreStandin::handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
{
    const auto body = nlohmann::json::parse(request.body_, nullptr, false);
    if (request.path_ == storepaths::Fault) {
        setFault(body, *responder);
        return;
    }
    if (request.path_ == storepaths::Counts) {
        answer(*responder, httpstatus::Ok, counts_);
        return;
    }
    ++counts_[request.path_];
    if (fault_ == StandinFault::Down) {
        responder->abort();
        return;
    }
    if (fault_ != StandinFault::Slow) {
        handleService(request.path_, body, responder);
        return;
    }
    auto &timer =
        delayedRequests_.emplace_back(std::make_unique<Timer>(loop_, [this, path = request.path_, body, responder] { handleService(path, body, responder); }));
    timer->startOnce(delay_);
}

void StoreStandin::handleService(const std::string &path, const nlohmann::json &body, const std::shared_ptr<HttpResponder> &responder)
{
    try {
        if (path == storepaths::Swap) {
            swap(body, *responder);
        } else if (path == storepaths::Read) {
            read(body, *responder);
        } else if (path == storepaths::List) {
            list(body, *responder);
        } else if (path == storepaths::Watch) {
            watch(body, responder);
        } else {
            changeLease(path, body, *responder);
        }
    } catch (const nlohmann::json::exception &) {
        answer(*responder, httpstatus::BadRequest, { { "error", "malformed" } });
    }
}

void StoreStandin::setFault(const nlohmann::json &body, HttpResponder &responder)
{
    fault_ = standinFaultFromName(body.value("fault", "none"));
    delay_ = std::chrono::milliseconds(body.value("delayMs", 0));
    if (fault_ == StandinFault::Down) {
        watches_.clear();
    }
    if (fault_ == StandinFault::None) {
        delayedRequests_.clear();
    }
    answer(responder, httpstatus::Ok, nlohmann::json::object());
}

void StoreStandin::swap(const nlohmann::json &body, HttpResponder &responder)
{
    const auto write = storecodec::writeFromJson(body);
    if (!write) {
        answer(responder, httpstatus::BadRequest, { { "error", "malformed" } });
        return;
    }
    const auto written = store_.compareAndSwap(*write, clock_.now());
    if (!written) {
        answer(responder, statusOf(written.error()), { { "error", written.error().message() } });
        return;
    }
    answerWrite(responder, httpstatus::Ok, { { "revision", written->number_ } });
    answerWatches();
}

void StoreStandin::read(const nlohmann::json &body, HttpResponder &responder)
{
    const auto entry = store_.read(body.at("key").get<std::string>(), clock_.now());
    answer(responder, httpstatus::Ok, entry ? storecodec::entryToJson(*entry) : nlohmann::json());
}

void StoreStandin::list(const nlohmann::json &body, HttpResponder &responder)
{
    const auto limit = std::min(body.at("limit").get<std::size_t>(), MaxListEntries);
    const auto entries = store_.list(body.at("prefix").get<std::string>(), body.at("after").get<std::string>(), limit, clock_.now());
    answer(responder, httpstatus::Ok, storecodec::entriesToJson(entries));
}

void StoreStandin::watch(const nlohmann::json &body, const std::shared_ptr<HttpResponder> &responder)
{
    Watch watch{ body.at("prefix").get<std::string>(), body.at("after").get<std::uint64_t>(), responder, nullptr };
    const auto found = store_.changesSince(watch.prefix_, watch.after_, clock_.now());
    if (!found || !found->entries_.empty()) {
        answerWatch(*responder, found);
        return;
    }
    const auto place = watches_.insert(watches_.end(), std::move(watch));
    place->timeout_ = std::make_unique<Timer>(loop_, [this, place] {
        answerWatch(*place->responder_, store_.changesSince(place->prefix_, place->after_, clock_.now()));
        watches_.erase(place);
    });
    place->timeout_->startOnce(std::chrono::milliseconds(body.at("waitMs").get<std::int64_t>()));
    responder->onClientDisconnected([this, place] { watches_.erase(place); });
}

void StoreStandin::changeLease(const std::string &path, const nlohmann::json &body, HttpResponder &responder)
{
    Result<LeaseId> lease = failure(ErrorCode::StoreLeaseUnknown);
    if (path == storepaths::GrantLease) {
        lease = store_.grantLease(std::chrono::milliseconds(body.at("durationMs").get<std::int64_t>()), clock_.now());
    } else if (path == storepaths::RenewLease) {
        lease = store_.renewLease(LeaseId(body.at("lease").get<std::string>()), clock_.now());
    } else if (path == storepaths::RevokeLease) {
        lease = store_.revokeLease(LeaseId(body.at("lease").get<std::string>()), clock_.now());
    } else {
        answer(responder, httpstatus::NotFound, { { "error", "path" } });
        return;
    }
    if (lease) {
        answerWrite(responder, httpstatus::Ok, { { "lease", lease->value() } });
    } else {
        answer(responder, statusOf(lease.error()), { { "lease", "unknown" } });
    }
    answerWatches();
    scheduleExpiry();
}

void StoreStandin::answerWatches()
{
    for (auto watch = watches_.begin(); watch != watches_.end();) {
        const auto found = store_.changesSince(watch->prefix_, watch->after_, clock_.now());
        if (found && found->entries_.empty()) {
            ++watch;
            continue;
        }
        answerWatch(*watch->responder_, found);
        watch = watches_.erase(watch);
    }
}

void StoreStandin::answerWatch(HttpResponder &responder, const Result<WatchAnswer> &changes)
{
    if (changes) {
        answer(responder, httpstatus::Ok, storecodec::watchToJson(*changes));
    } else {
        answer(responder, statusOf(changes.error()), { { "error", changes.error().message() } });
    }
}

void StoreStandin::scheduleExpiry()
{
    const auto next = store_.nextExpiry();
    if (!next) {
        expiryTimer_.cancel();
        return;
    }
    const auto delay = std::chrono::duration_cast<std::chrono::microseconds>(*next - clock_.now());
    expiryTimer_.startOnce(std::max(delay, std::chrono::microseconds(0)) + std::chrono::milliseconds(1));
}

void StoreStandin::answerWrite(HttpResponder &responder, int status, const nlohmann::json &body)
{
    if (fault_ == StandinFault::LoseAnswers) {
        responder.abort();
        return;
    }
    StoreStandin::answer(responder, status, body);
}

void StoreStandin::answer(HttpResponder &responder, int status, const nlohmann::json &body)
{
    responder.reply(HttpResponseHead{ status, { { "Content-Type", "application/json" } } }, body.dump());
}

} // namespace cowsliphead
