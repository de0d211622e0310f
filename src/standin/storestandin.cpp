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

constexpr std::size_t LargestList = 1000;

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
    , expiry_(loop,
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
    const auto question = nlohmann::json::parse(request.body_, nullptr, false);
    if (request.path_ == storepaths::Fault) {
        setFault(question, *responder);
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
        handleService(request.path_, question, responder);
        return;
    }
    auto &timer =
        delays_.emplace_back(std::make_unique<Timer>(loop_, [this, path = request.path_, question, responder] { handleService(path, question, responder); }));
    timer->startOnce(delay_);
}

void StoreStandin::handleService(const std::string &path, const nlohmann::json &question, const std::shared_ptr<HttpResponder> &responder)
{
    try {
        if (path == storepaths::Swap) {
            swap(question, *responder);
        } else if (path == storepaths::Read) {
            read(question, *responder);
        } else if (path == storepaths::List) {
            list(question, *responder);
        } else if (path == storepaths::Watch) {
            watch(question, responder);
        } else {
            changeLease(path, question, *responder);
        }
    } catch (const nlohmann::json::exception &) {
        answer(*responder, httpstatus::BadRequest, { { "error", "malformed" } });
    }
}

void StoreStandin::setFault(const nlohmann::json &question, HttpResponder &responder)
{
    fault_ = faultFromName(question.value("fault", "none"));
    delay_ = std::chrono::milliseconds(question.value("delayMs", 0));
    if (fault_ == StandinFault::Down) {
        watches_.clear();
    }
    if (fault_ == StandinFault::None) {
        delays_.clear();
    }
    answer(responder, httpstatus::Ok, nlohmann::json::object());
}

void StoreStandin::swap(const nlohmann::json &question, HttpResponder &responder)
{
    const auto write = storecodec::writeFromJson(question);
    if (!write) {
        answer(responder, httpstatus::BadRequest, { { "error", "malformed" } });
        return;
    }
    const auto written = store_.compareAndSwap(*write, clock_.now());
    if (!written) {
        answer(responder, statusOf(written.error()), { { "error", written.error().message() } });
        return;
    }
    answerWrite(responder, httpstatus::Ok, { { "revision", *written } });
    answerWatches();
}

void StoreStandin::read(const nlohmann::json &question, HttpResponder &responder)
{
    const auto entry = store_.read(question.at("key").get<std::string>(), clock_.now());
    answer(responder, httpstatus::Ok, entry ? storecodec::entryToJson(*entry) : nlohmann::json());
}

void StoreStandin::list(const nlohmann::json &question, HttpResponder &responder)
{
    const auto limit = std::min(question.at("limit").get<std::size_t>(), LargestList);
    const auto entries = store_.list(question.at("prefix").get<std::string>(), question.at("after").get<std::string>(), limit, clock_.now());
    answer(responder, httpstatus::Ok, storecodec::entriesToJson(entries));
}

void StoreStandin::watch(const nlohmann::json &question, const std::shared_ptr<HttpResponder> &responder)
{
    Watch watch{ question.at("prefix").get<std::string>(), question.at("after").get<StoreRevision>(), responder, nullptr };
    const auto found = store_.changesSince(watch.prefix_, watch.after_, clock_.now());
    if (!found.entries_.empty()) {
        answer(*responder, httpstatus::Ok, storecodec::watchToJson(found));
        return;
    }
    const auto place = watches_.insert(watches_.end(), std::move(watch));
    place->timeout_ = std::make_unique<Timer>(loop_, [this, place] {
        answer(*place->responder_, httpstatus::Ok, storecodec::watchToJson(store_.changesSince(place->prefix_, place->after_, clock_.now())));
        watches_.erase(place);
    });
    place->timeout_->startOnce(std::chrono::milliseconds(question.at("waitMs").get<std::int64_t>()));
    responder->onClientDisconnected([this, place] { watches_.erase(place); });
}

void StoreStandin::changeLease(const std::string &path, const nlohmann::json &question, HttpResponder &responder)
{
    Result<LeaseId> lease = failure(ErrorCode::StoreLeaseUnknown);
    if (path == storepaths::GrantLease) {
        lease = store_.grantLease(std::chrono::milliseconds(question.at("durationMs").get<std::int64_t>()), clock_.now());
    } else if (path == storepaths::RenewLease) {
        lease = store_.renewLease(LeaseId(question.at("lease").get<std::string>()), clock_.now());
    } else if (path == storepaths::RevokeLease) {
        lease = store_.revokeLease(LeaseId(question.at("lease").get<std::string>()), clock_.now());
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
        if (found.entries_.empty()) {
            ++watch;
            continue;
        }
        answer(*watch->responder_, httpstatus::Ok, storecodec::watchToJson(found));
        watch = watches_.erase(watch);
    }
}

void StoreStandin::scheduleExpiry()
{
    const auto next = store_.nextExpiry();
    if (!next) {
        expiry_.cancel();
        return;
    }
    const auto delay = std::chrono::duration_cast<std::chrono::microseconds>(*next - clock_.now());
    expiry_.startOnce(std::max(delay, std::chrono::microseconds(0)) + std::chrono::milliseconds(1));
}

void StoreStandin::answerWrite(HttpResponder &responder, int status, const nlohmann::json &answer)
{
    if (fault_ == StandinFault::LoseAnswers) {
        responder.abort();
        return;
    }
    StoreStandin::answer(responder, status, answer);
}

void StoreStandin::answer(HttpResponder &responder, int status, const nlohmann::json &answer)
{
    responder.reply(HttpResponseHead{ status, { { "Content-Type", "application/json" } } }, answer.dump());
}

} // namespace cowsliphead
