#include "storeserver.h"

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

constexpr std::chrono::milliseconds ExpiryInterval{ 50 };
constexpr std::chrono::hours Forever{ 1 };

/// The fields of a request's query.
std::map<std::string, std::string> queryOf(const std::string &target)
{
    std::map<std::string, std::string> fields;
    const auto mark = target.find('?');
    evkeyvalq list{};
    if (mark == std::string::npos || evhttp_parse_query_str(target.c_str() + mark + 1, &list) != 0) {
        return fields;
    }
    for (const auto *field = list.tqh_first; field != nullptr; field = field->next.tqe_next) {
        fields[field->key] = field->value;
    }
    evhttp_clear_headers(&list);
    return fields;
}

std::uint64_t lastNumber(const std::string &target)
{
    return std::strtoull(target.c_str() + target.rfind('/') + 1, nullptr, 10);
}

} // namespace

StoreServer::StoreServer(EventLoop &loop)
    : loop_(loop)
    , expiry_(loop, [this] { expireLeases(); })
    , listener_(loop, [this](int socket) { accept(socket); })
{
    port_ = *listener_.listen(SocketAddress{ "127.0.0.1", 0 });
    expiry_.startRepeating(ExpiryInterval);
}

StoreServer::~StoreServer() = default;

void StoreServer::accept(int socket)
{
    const auto number = ++nextSession_;
    auto &session = sessions_[number];
    CallerConnectionLimits limits;
    limits.idleTimeout_ = Forever;
    session.connection_ =
        std::make_unique<CallerConnection>(loop_,
                                           socket,
                                           limits,
                                           CallerConnectionEvents{
                                               .onRequest_ = [this, number](const CallerRequest &request) { answer(sessions_.at(number), request); },
                                               .onDisconnected_ = [] {},
                                               .onRefused_ = [](int /*status*/) {},
                                               .onClosed_ = [this, number] { sessions_.erase(number); },
                                           });
}

void StoreServer::answer(Session &session, const CallerRequest &request)
{
    const auto &target = request.head_.target_;
    const auto path = target.substr(0, target.find('?'));
    auto query = queryOf(target);
    if (path == "/api/kv-key") {
        read(session, query["key"]);
    } else if (path == "/api/kv-range") {
        range(session, query["prefix"], query["after"]);
    } else if (path == "/api/kv-watch") {
        watch(session, query["prefix"], std::stoull(query["after"]), std::chrono::milliseconds(std::stoll(query["waitMs"])));
    } else if (path == "/api/kv-txn") {
        transact(session, request.body_);
    } else if (path == "/api/kv-lease") {
        grantLease(session, request.body_);
    } else if (path.starts_with("/api/kv-keep/")) {
        renewLease(session, lastNumber(path));
    } else if (path.starts_with("/api/kv-lease-end/")) {
        endLease(lastNumber(path));
        respond(session, 200, Json::object());
    } else {
        respond(session, 404, Json::object());
    }
}

void StoreServer::respond(Session &session, int status, const Json &document)
{
    session.connection_->respond(status, reasonPhrase(status), { { "Content-Type", "application/json" } }, document.dump());
}

namespace
{

Json itemOf(const std::string &key, const std::string &value, std::uint64_t revision, std::uint64_t created, std::uint64_t lease)
{
    return { { "key", key }, { "value", base64::encode(value) }, { "revision", revision }, { "createRev", created }, { "lease", lease } };
}

} // namespace

void StoreServer::read(Session &session, const std::string &key)
{
    const auto found = items_.find(key);
    if (found == items_.end()) {
        respond(session, 404, Json::object());
        return;
    }
    const auto &item = found->second;
    auto document = itemOf(key, item.value_, item.revision_, item.created_, item.lease_);
    document["currentRev"] = revision_;
    respond(session, 200, document);
}

void StoreServer::range(Session &session, const std::string &prefix, const std::string &after)
{
    Json list = Json::array();
    for (auto item = items_.lower_bound(prefix); item != items_.end() && item->first.starts_with(prefix); ++item) {
        if (item->first > after) {
            list.push_back(itemOf(item->first, item->second.value_, item->second.revision_, item->second.created_, item->second.lease_));
        }
    }
    respond(session, 200, { { "items", list }, { "hasMore", false }, { "currentRev", revision_ } });
}

void StoreServer::watch(Session &session, const std::string &prefix, std::uint64_t after, std::chrono::milliseconds wait)
{
    session.prefix_ = prefix;
    session.after_ = after;
    session.isWatching_ = true;
    session.end_ = std::make_unique<Timer>(loop_, [this, &session] { answerWatch(session); });
    session.end_->startOnce(wait);
    wakeWatches();
}

void StoreServer::answerWatch(Session &session)
{
    Json events = Json::array();
    for (const auto &event : history_) {
        if (event.revision_ <= session.after_ || !event.key_.starts_with(session.prefix_)) {
            continue;
        }
        if (event.isRemoval_) {
            events.push_back({ { "key", event.key_ }, { "revision", event.revision_ }, { "removed", true } });
        } else {
            events.push_back(itemOf(event.key_, event.item_.value_, event.revision_, event.item_.created_, event.item_.lease_));
        }
    }
    session.isWatching_ = false;
    session.end_->cancel();
    respond(session, 200, { { "events", events }, { "currentRev", revision_ } });
}

void StoreServer::wakeWatches()
{
    for (auto &[number, session] : sessions_) {
        const bool hasEvent = session.isWatching_ && std::any_of(history_.rbegin(), history_.rend(), [&session = session](const Event &event) {
                                  return event.revision_ > session.after_ && event.key_.starts_with(session.prefix_);
                              });
        if (hasEvent) {
            answerWatch(session);
        }
    }
}

void StoreServer::transact(Session &session, const std::string &body)
{
    const auto document = Json::parse(body);
    for (const auto &row : document.at("expected")) {
        const auto found = items_.find(row.at("key").get<std::string>());
        const auto revision = found == items_.end() ? 0 : found->second.revision_;
        if (revision != row.at("revision").get<std::uint64_t>()) {
            respond(session, 412, { { "items", Json::array() } });
            return;
        }
    }
    for (const auto &put : document.at("puts")) {
        const auto lease = put.value("lease", std::uint64_t(0));
        if (lease != 0 && !leases_.contains(lease)) {
            respond(session, 404, Json::object());
            return;
        }
    }
    for (const auto &put : document.at("puts")) {
        set(put.at("key"), base64::decode(put.at("value")), put.value("lease", std::uint64_t(0)));
    }
    for (const auto &key : document.at("remove")) {
        erase(key);
    }
    wakeWatches();
    if (losesAnswer()) {
        session.connection_->abortAnswer();
    } else {
        respond(session, 200, { { "revision", revision_ } });
    }
}

bool StoreServer::losesAnswer()
{
    // Every so many writes, spread evenly.
    ++writes_;
    return lostShare_ > 0 && writes_ % static_cast<std::uint64_t>(1 / lostShare_) == 0;
}

void StoreServer::loseAnswers(double share)
{
    lostShare_ = share;
}

void StoreServer::grantLease(Session &session, const std::string &body)
{
    const auto duration = std::chrono::milliseconds(Json::parse(body).at("ttlMs").get<std::int64_t>());
    const auto lease = nextLease_++;
    leases_[lease] = Lease{ duration, std::chrono::steady_clock::now() + duration };
    respond(session, 200, { { "lease", lease }, { "ttlMs", duration.count() } });
}

void StoreServer::renewLease(Session &session, std::uint64_t lease)
{
    const auto found = leases_.find(lease);
    if (found == leases_.end()) {
        respond(session, 404, Json::object());
        return;
    }
    found->second.until_ = std::chrono::steady_clock::now() + found->second.duration_;
    respond(session, 200, Json::object());
}

void StoreServer::endLease(std::uint64_t lease)
{
    leases_.erase(lease);
    std::vector<std::string> keys;
    for (const auto &[key, item] : items_) {
        if (item.lease_ == lease) {
            keys.push_back(key);
        }
    }
    for (const auto &key : keys) {
        erase(key);
    }
    wakeWatches();
}

void StoreServer::expireLeases()
{
    const auto now = std::chrono::steady_clock::now();
    std::vector<std::uint64_t> ended;
    for (const auto &[number, lease] : leases_) {
        if (now >= lease.until_) {
            ended.push_back(number);
        }
    }
    for (const auto number : ended) {
        endLease(number);
    }
}

void StoreServer::set(const std::string &key, const std::string &value, std::uint64_t lease)
{
    auto &item = items_[key];
    item.value_ = value;
    item.revision_ = ++revision_;
    item.created_ = item.created_ == 0 ? revision_ : item.created_;
    item.lease_ = lease;
    history_.push_back({ key, revision_, false, item });
}

void StoreServer::erase(const std::string &key)
{
    if (items_.erase(key) > 0) {
        history_.push_back({ key, ++revision_, true, {} });
    }
}

void StoreServer::put(const std::string &key, const std::string &value)
{
    set(key, value, 0);
    wakeWatches();
}

void StoreServer::remove(const std::string &key)
{
    erase(key);
    wakeWatches();
}
