#include "storeserver.h"

#include <algorithm>
#include <iterator>

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <nlohmann/json.hpp>

#include "http1/messagewriter.h"
#include "http1/socketaddress.h"
#include "platform/base64.h"

using namespace cowsliphead;
using Json = nlohmann::json;

namespace
{

constexpr std::chrono::milliseconds LeaseExpiryInterval{ 50 };
constexpr std::chrono::hours IdleTimeout{ 1 };
constexpr std::chrono::milliseconds CopyInterval{ 100 };
constexpr std::chrono::seconds MaxCopyAge{ 8 };

/// Parses the query part of a request target.
std::map<std::string, std::string> parseQuery(const std::string &target)
{
    std::map<std::string, std::string> fields;
    const auto queryStart = target.find('?');
    evkeyvalq list{};
    if (queryStart == std::string::npos || evhttp_parse_query_str(target.c_str() + queryStart + 1, &list) != 0) {
        return fields;
    }
    for (const auto *field = list.tqh_first; field != nullptr; field = field->next.tqe_next) {
        fields[field->key] = field->value;
    }
    evhttp_clear_headers(&list);
    return fields;
}

std::uint64_t numberFromPath(const std::string &target)
{
    return std::strtoull(target.c_str() + target.rfind('/') + 1, nullptr, 10);
}

} // namespace

StoreServer::StoreServer(EventLoop &loop)
    : loop_(loop)
    , leaseExpiryTimer_(loop,
                        [this] {
                            expireLeases();
                            keepCopy();
                        })
    , returnTimer_(loop, [this] { comeBack(copyMadeBy_); })
    , listener_(loop, [this](int socket) { accept(socket); })
{
    port_ = *listener_.listen(SocketAddress{ "127.0.0.1", 0 });
    leaseExpiryTimer_.startRepeating(LeaseExpiryInterval);
}

StoreServer::~StoreServer() = default;

void StoreServer::accept(int socket)
{
    const auto number = ++lastSessionNumber_;
    auto &session = sessions_[number];
    CallerConnectionLimits limits;
    limits.idleTimeout_ = IdleTimeout;
    session.connection_ =
        std::make_unique<CallerConnection>(loop_,
                                           socket,
                                           limits,
                                           CallerConnectionEvents{
                                               .onRequest_ = [this, number](const CallerRequest &request) { handleRequest(sessions_.at(number), request); },
                                               .onDisconnected_ = [] {},
                                               .onRequestRefused_ = [](int /*status*/) {},
                                               .onClosed_ = [this, number] { sessions_.erase(number); },
                                           });
}

void StoreServer::handleRequest(Session &session, const CallerRequest &request)
{
    if (isAway_) {
        answer(session, 503, Json::object());
        return;
    }
    const auto &target = request.head_.target_;
    const auto path = target.substr(0, target.find('?'));
    auto query = parseQuery(target);
    if (path == "/api/kv-key") {
        readKey(session, query["key"]);
    } else if (path == "/api/kv-range") {
        readRange(session, query["prefix"], query["after"]);
    } else if (path == "/api/kv-watch") {
        startWatch(session, query["prefix"], std::stoull(query["after"]), std::chrono::milliseconds(std::stoll(query["waitMs"])));
    } else if (path == "/api/kv-txn") {
        runTransaction(session, request.body_);
    } else if (path == "/api/kv-lease") {
        grantLease(session, request.body_);
    } else if (path.starts_with("/api/kv-keep/")) {
        renewLease(session, numberFromPath(path));
    } else if (path.starts_with("/api/kv-lease-end/")) {
        endLease(numberFromPath(path));
        answer(session, 200, Json::object());
    } else {
        answer(session, 404, Json::object());
    }
}

void StoreServer::answer(Session &session, int status, const Json &document)
{
    session.connection_->respond(
        status, reasonPhrase(status), { { "Content-Type", "application/json" }, { "Store-Era", std::to_string(era_) } }, document.dump());
}

namespace
{

Json itemJson(const std::string &key, const std::string &value, std::uint64_t revision, std::uint64_t created, std::uint64_t lease)
{
    return { { "key", key }, { "value", base64::encode(value) }, { "revision", revision }, { "createRev", created }, { "lease", lease } };
}

} // namespace

void StoreServer::readKey(Session &session, const std::string &key)
{
    const auto found = content_.items_.find(key);
    if (found == content_.items_.end()) {
        answer(session, 404, Json::object());
        return;
    }
    const auto &item = found->second;
    auto document = itemJson(key, item.value_, item.revision_, item.created_, item.lease_);
    document["currentRev"] = content_.revision_;
    answer(session, 200, document);
}

void StoreServer::readRange(Session &session, const std::string &prefix, const std::string &after)
{
    Json list = Json::array();
    for (auto item = content_.items_.lower_bound(prefix); item != content_.items_.end() && item->first.starts_with(prefix); ++item) {
        if (item->first > after) {
            list.push_back(itemJson(item->first, item->second.value_, item->second.revision_, item->second.created_, item->second.lease_));
        }
    }
    answer(session, 200, { { "items", list }, { "hasMore", false }, { "currentRev", content_.revision_ } });
}

void StoreServer::startWatch(Session &session, const std::string &prefix, std::uint64_t after, std::chrono::milliseconds wait)
{
    if (after > content_.revision_) {
        answer(session, 410, Json::object());
        return;
    }
    session.prefix_ = prefix;
    session.after_ = after;
    session.isWatching_ = true;
    session.watchTimeout_ = std::make_unique<Timer>(loop_, [this, &session] { answerWatch(session); });
    session.watchTimeout_->startOnce(wait);
    answerReadyWatches();
}

void StoreServer::answerWatch(Session &session)
{
    Json events = Json::array();
    for (const auto &event : content_.history_) {
        if (event.revision_ <= session.after_ || !event.key_.starts_with(session.prefix_)) {
            continue;
        }
        if (event.isRemoval_) {
            events.push_back({ { "key", event.key_ }, { "revision", event.revision_ }, { "removed", true } });
        } else {
            events.push_back(itemJson(event.key_, event.item_.value_, event.revision_, event.item_.created_, event.item_.lease_));
        }
    }
    session.isWatching_ = false;
    session.watchTimeout_->cancel();
    answer(session, 200, { { "events", events }, { "currentRev", content_.revision_ } });
}

void StoreServer::answerReadyWatches()
{
    for (auto &[number, session] : sessions_) {
        const bool hasEvent =
            session.isWatching_ && std::any_of(content_.history_.rbegin(), content_.history_.rend(), [&session = session](const Event &event) {
                return event.revision_ > session.after_ && event.key_.starts_with(session.prefix_);
            });
        if (hasEvent) {
            answerWatch(session);
        }
    }
}

void StoreServer::runTransaction(Session &session, const std::string &body)
{
    const auto document = Json::parse(body);
    for (const auto &row : document.at("expected")) {
        const auto found = content_.items_.find(row.at("key").get<std::string>());
        const auto revision = found == content_.items_.end() ? 0 : found->second.revision_;
        if (revision != row.at("revision").get<std::uint64_t>()) {
            answer(session, 412, { { "items", Json::array() } });
            return;
        }
    }
    for (const auto &put : document.at("puts")) {
        const auto lease = put.value("lease", std::uint64_t(0));
        if (lease != 0 && !content_.leases_.contains(lease)) {
            answer(session, 404, Json::object());
            return;
        }
    }
    for (const auto &put : document.at("puts")) {
        setItem(put.at("key"), base64::decode(put.at("value")), put.value("lease", std::uint64_t(0)));
    }
    for (const auto &key : document.at("remove")) {
        eraseItem(key);
    }
    answerReadyWatches();
    if (countWriteUntilLostAnswer()) {
        session.connection_->abortAnswer();
    } else {
        answer(session, 200, { { "revision", content_.revision_ } });
    }
}

bool StoreServer::countWriteUntilLostAnswer()
{
    // Loses every n-th answer, n being the inverse of the share, so that the losses are spread evenly.
    ++writes_;
    return lostAnswerShare_ > 0 && writes_ % static_cast<std::uint64_t>(1 / lostAnswerShare_) == 0;
}

void StoreServer::setLostAnswerShare(double share)
{
    lostAnswerShare_ = share;
}

void StoreServer::grantLease(Session &session, const std::string &body)
{
    const auto duration = std::chrono::milliseconds(Json::parse(body).at("ttlMs").get<std::int64_t>());
    const auto lease = content_.nextLease_++;
    content_.leases_[lease] = Lease{ duration, std::chrono::steady_clock::now() + duration };
    answer(session, 200, { { "lease", lease }, { "ttlMs", duration.count() } });
}

void StoreServer::renewLease(Session &session, std::uint64_t lease)
{
    const auto found = content_.leases_.find(lease);
    if (found == content_.leases_.end()) {
        answer(session, 404, Json::object());
        return;
    }
    found->second.expiresAt_ = std::chrono::steady_clock::now() + found->second.duration_;
    answer(session, 200, Json::object());
}

void StoreServer::endLease(std::uint64_t lease)
{
    content_.leases_.erase(lease);
    std::vector<std::string> keys;
    for (const auto &[key, item] : content_.items_) {
        if (item.lease_ == lease) {
            keys.push_back(key);
        }
    }
    for (const auto &key : keys) {
        eraseItem(key);
    }
    answerReadyWatches();
}

void StoreServer::expireLeases()
{
    const auto now = std::chrono::steady_clock::now();
    std::vector<std::uint64_t> ended;
    for (const auto &[number, lease] : content_.leases_) {
        if (now >= lease.expiresAt_) {
            ended.push_back(number);
        }
    }
    for (const auto number : ended) {
        endLease(number);
    }
}

void StoreServer::setItem(const std::string &key, const std::string &value, std::uint64_t lease)
{
    auto &item = content_.items_[key];
    item.value_ = value;
    item.revision_ = ++content_.revision_;
    item.created_ = item.created_ == 0 ? content_.revision_ : item.created_;
    item.lease_ = lease;
    content_.history_.push_back({ key, content_.revision_, false, item });
}

void StoreServer::eraseItem(const std::string &key)
{
    if (content_.items_.erase(key) > 0) {
        content_.history_.push_back({ key, ++content_.revision_, true, {} });
    }
}

void StoreServer::writeOutside(const std::string &key, const std::optional<std::string> &value)
{
    if (value) {
        setItem(key, *value, 0);
    } else {
        eraseItem(key);
    }
    answerReadyWatches();
}

void StoreServer::put(const std::string &key, const std::string &value)
{
    outsideWrites_.push_back({ std::chrono::steady_clock::now(), key, value });
    if (!isAway_) {
        writeOutside(key, value);
    }
}

void StoreServer::remove(const std::string &key)
{
    outsideWrites_.push_back({ std::chrono::steady_clock::now(), key, std::nullopt });
    if (!isAway_) {
        writeOutside(key, std::nullopt);
    }
}

void StoreServer::keepCopy()
{
    const auto now = std::chrono::steady_clock::now();
    if (isAway_ || (!copies_.empty() && now - copies_.back().madeAt_ < CopyInterval)) {
        return;
    }
    copies_.push_back({ now, content_ });
    while (now - copies_.front().madeAt_ > MaxCopyAge) {
        copies_.pop_front();
    }
}

void StoreServer::restore(std::chrono::milliseconds copyAge, std::chrono::milliseconds away)
{
    if (isAway_ || copies_.empty()) {
        return;
    }
    isAway_ = true;
    for (auto &[number, session] : sessions_) {
        if (session.isWatching_) {
            session.isWatching_ = false;
            session.watchTimeout_->cancel();
            answer(session, 503, Json::object());
        }
    }
    copyMadeBy_ = std::chrono::steady_clock::now() - copyAge;
    returnTimer_.startOnce(away);
}

void StoreServer::comeBack(std::chrono::steady_clock::time_point copyMadeBy)
{
    auto copy = copies_.front();
    for (const auto &candidate : copies_) {
        if (candidate.madeAt_ <= copyMadeBy) {
            copy = candidate;
        }
    }
    content_ = copy.content_;
    const auto now = std::chrono::steady_clock::now();
    for (auto &[number, lease] : content_.leases_) {
        lease.expiresAt_ = now + lease.duration_;
    }
    copies_.clear();
    ++era_;
    isAway_ = false;
    writeAgain(copy.madeAt_);
    keepCopy();
}

void StoreServer::writeAgain(std::chrono::steady_clock::time_point since)
{
    for (auto write = outsideWrites_.begin(); write != outsideWrites_.end(); ++write) {
        const bool isLast = std::none_of(std::next(write), outsideWrites_.end(), [&write](const OutsideWrite &later) { return later.key_ == write->key_; });
        if (write->writtenAt_ >= since && isLast) {
            writeOutside(write->key_, write->value_);
        }
    }
}
