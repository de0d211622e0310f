#pragma once

#include <condition_variable>
#include <deque>
#include <map>
#include <string>

#include <nlohmann/json.hpp>

#include "http.h"
#include "record.h"

namespace review
{

using Json = nlohmann::json;

// Stand-in of the platform's metadata store, with the calls of PROTOCOL.md and the drill of the news pages.
class Store
{
public:
    Store(const std::string &ip, Record &record)
        : record_(record)
        , server_(ip, 0, [this](Channel &channel, const Message &request) { return handle(channel, request); })
    {
        std::thread([this] { keepTime(); }).detach();
    }

    std::string address() const
    {
        return server_.ip() + ":" + std::to_string(server_.port());
    }

    // A write of the operator or of a server. Returns its revision.
    std::uint64_t put(const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(mutex_);
        setItem(key, value, 0);
        written_.push_back({ Steady::now(), key, value });
        changed_.notify_all();
        return revision_;
    }

    std::uint64_t remove(const std::string &key)
    {
        const std::lock_guard lock(mutex_);
        eraseItem(key);
        written_.push_back({ Steady::now(), key, std::nullopt });
        changed_.notify_all();
        return revision_;
    }

    std::uint64_t revision()
    {
        const std::lock_guard lock(mutex_);
        return revision_;
    }

    // The value of a key; nothing if it does not exist.
    std::optional<std::string> value(const std::string &key)
    {
        const std::lock_guard lock(mutex_);
        const auto found = items_.find(key);
        return found == items_.end() ? std::nullopt : std::optional(found->second.value_);
    }

    // The store is away for a moment and comes back from the newest copy that is at least this old. What the operator and the servers wrote
    // since is written again: the last value of each key, in the order of these writes. Returns the age of the copy.
    std::chrono::milliseconds drill(std::chrono::milliseconds age, std::chrono::milliseconds away)
    {
        std::unique_lock lock(mutex_);
        const auto now = Steady::now();
        isAway_ = true;
        changed_.notify_all();
        lock.unlock();
        std::this_thread::sleep_for(away);
        lock.lock();
        const auto newer = std::find_if(copies_.begin(), copies_.end(), [&](const Copy &copy) { return copy.at_ > now - age; });
        const Copy copy = newer == copies_.begin() ? copies_.front() : *std::prev(newer);
        const auto before = revision_;
        items_ = copy.items_;
        revision_ = copy.revision_;
        // Leases that were given since are gone; the others run on.
        std::map<std::uint64_t, Lease> leases;
        for (const auto &[number, lease] : copy.leases_) {
            leases[number] = { lease.duration_, Steady::now() + lease.duration_ };
        }
        leases_ = leases;
        while (!history_.empty() && history_.back().revision_ > revision_) {
            history_.pop_back();
        }
        ++era_;
        for (std::size_t index = 0; index < written_.size(); ++index) {
            const auto &write = written_[index];
            const bool isLast =
                std::none_of(written_.begin() + static_cast<std::ptrdiff_t>(index) + 1, written_.end(), [&](const Write &later) { return later.key_ == write.key_; });
            if (write.at_ <= copy.at_ || !isLast) {
                continue;
            }
            if (write.value_) {
                setItem(write.key_, *write.value_, 0);
            } else {
                eraseItem(write.key_);
            }
        }
        copies_.clear();
        isAway_ = false;
        changed_.notify_all();
        const auto copyAge = std::chrono::duration_cast<std::chrono::milliseconds>(now - copy.at_);
        record_.add("store: drill, copy " + std::to_string(copyAge.count()) + " ms old, away " + std::to_string(away.count()) + " ms, revision "
                    + std::to_string(before) + " -> " + std::to_string(copy.revision_) + ", after writing again " + std::to_string(revision_) + ", era "
                    + std::to_string(era_));
        return copyAge;
    }

private:
    struct Item {
        std::string value_;
        std::uint64_t revision_ = 0;
        std::uint64_t created_ = 0;
        std::uint64_t lease_ = 0;
    };

    struct Event {
        std::string key_;
        std::uint64_t revision_ = 0;
        std::optional<Item> item_;
    };

    struct Lease {
        std::chrono::milliseconds duration_{ 0 };
        Steady::time_point endsAt_;
    };

    struct Write {
        Steady::time_point at_;
        std::string key_;
        std::optional<std::string> value_;
    };

    struct Copy {
        Steady::time_point at_;
        std::map<std::string, Item> items_;
        std::map<std::uint64_t, Lease> leases_;
        std::uint64_t revision_ = 0;
    };

    static constexpr std::chrono::milliseconds AnswerTime{ 4 };
    static constexpr std::chrono::milliseconds CopyInterval{ 100 };
    static constexpr std::size_t MaxCopies = 150;
    static constexpr std::size_t MaxHistory = 4000;

    static std::string base64(const std::string &bytes)
    {
        static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (std::size_t at = 0; at < bytes.size(); at += 3) {
            std::uint32_t group = 0;
            for (std::size_t index = 0; index < 3; ++index) {
                group = group << 8 | (at + index < bytes.size() ? static_cast<unsigned char>(bytes[at + index]) : 0);
            }
            for (std::size_t index = 0; index < 4; ++index) {
                text += at + index <= bytes.size() ? digits[group >> (18 - 6 * index) & 63] : '=';
            }
        }
        return text;
    }

    static std::string unbase64(const std::string &text)
    {
        std::string bytes;
        std::uint32_t group = 0;
        int bits = 0;
        for (const char character : text) {
            const std::string digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
            const auto digit = digits.find(character);
            if (digit == std::string::npos) {
                break;
            }
            group = group << 6 | static_cast<std::uint32_t>(digit);
            bits += 6;
            if (bits >= 8) {
                bits -= 8;
                bytes += static_cast<char>(group >> bits & 255);
            }
        }
        return bytes;
    }

    static std::string unescaped(const std::string &text)
    {
        std::string result;
        for (std::size_t at = 0; at < text.size(); ++at) {
            if (text[at] == '%' && at + 2 < text.size()) {
                result += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
                at += 2;
            } else {
                result += text[at];
            }
        }
        return result;
    }

    static std::map<std::string, std::string> queryOf(const std::string &target)
    {
        std::map<std::string, std::string> fields;
        auto at = target.find('?');
        while (at != std::string::npos) {
            const auto next = target.find('&', at + 1);
            const auto field = target.substr(at + 1, next == std::string::npos ? next : next - at - 1);
            const auto equals = field.find('=');
            fields[field.substr(0, equals)] = equals == std::string::npos ? "" : unescaped(field.substr(equals + 1));
            at = next;
        }
        return fields;
    }

    static Json jsonOf(const std::string &key, const Item &item)
    {
        return { { "key", key }, { "value", base64(item.value_) }, { "revision", item.revision_ }, { "createRev", item.created_ }, { "lease", item.lease_ } };
    }

    void setItem(const std::string &key, const std::string &value, std::uint64_t lease)
    {
        auto &item = items_[key];
        item.value_ = value;
        item.revision_ = ++revision_;
        item.created_ = item.created_ == 0 ? revision_ : item.created_;
        item.lease_ = lease;
        addEvent({ key, revision_, item });
    }

    void eraseItem(const std::string &key)
    {
        if (items_.erase(key) > 0) {
            addEvent({ key, ++revision_, std::nullopt });
        }
    }

    void addEvent(Event event)
    {
        history_.push_back(std::move(event));
        if (history_.size() > MaxHistory) {
            history_.pop_front();
        }
    }

    // Ends leases and keeps copies.
    void keepTime()
    {
        for (;;) {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
            const std::lock_guard lock(mutex_);
            const auto now = Steady::now();
            if (isAway_) {
                continue;
            }
            for (auto lease = leases_.begin(); lease != leases_.end();) {
                if (now < lease->second.endsAt_) {
                    ++lease;
                    continue;
                }
                const auto number = lease->first;
                lease = leases_.erase(lease);
                endKeysOf(number);
            }
            if (copies_.empty() || now - copies_.back().at_ >= CopyInterval) {
                copies_.push_back({ now, items_, leases_, revision_ });
                if (copies_.size() > MaxCopies) {
                    copies_.pop_front();
                }
            }
        }
    }

    void endKeysOf(std::uint64_t lease)
    {
        std::vector<std::string> keys;
        for (const auto &[key, item] : items_) {
            if (item.lease_ == lease) {
                keys.push_back(key);
            }
        }
        for (const auto &key : keys) {
            eraseItem(key);
        }
        changed_.notify_all();
    }

    bool handle(Channel &channel, const Message &request)
    {
        std::this_thread::sleep_for(AnswerTime);
        std::unique_lock lock(mutex_);
        int status = 503;
        Json answer = Json::object();
        if (!isAway_) {
            status = respond(request, answer, lock);
        }
        const Headers headers{ { "Content-Type", "application/json" }, { "Store-Era", std::to_string(era_) } };
        lock.unlock();
        return channel.send(answerBytes(status, headers, answer.dump()));
    }

    int respond(const Message &request, Json &answer, std::unique_lock<std::mutex> &lock)
    {
        const auto target = request.word(1);
        const auto path = target.substr(0, target.find('?'));
        auto query = queryOf(target);
        const auto number = std::strtoull(path.c_str() + path.rfind('/') + 1, nullptr, 10);
        if (path == "/api/kv-key") {
            const auto found = items_.find(query["key"]);
            if (found == items_.end()) {
                return 404;
            }
            answer = jsonOf(found->first, found->second);
            answer["currentRev"] = revision_;
            return 200;
        }
        if (path == "/api/kv-range") {
            answer["items"] = Json::array();
            for (auto item = items_.lower_bound(query["prefix"]); item != items_.end() && item->first.starts_with(query["prefix"]); ++item) {
                if (item->first > query["after"]) {
                    answer["items"].push_back(jsonOf(item->first, item->second));
                }
            }
            answer["hasMore"] = false;
            answer["currentRev"] = revision_;
            return 200;
        }
        if (path == "/api/kv-watch") {
            return watch(query, answer, lock);
        }
        if (path == "/api/kv-txn") {
            return runTransaction(Json::parse(request.body_), answer);
        }
        if (path == "/api/kv-lease") {
            const auto duration = std::chrono::milliseconds(Json::parse(request.body_).at("ttlMs").get<std::int64_t>());
            leases_[++lastLease_] = { duration, Steady::now() + duration };
            answer = { { "lease", lastLease_ }, { "ttlMs", duration.count() } };
            return 200;
        }
        if (path.starts_with("/api/kv-keep/")) {
            const auto lease = leases_.find(number);
            if (lease == leases_.end()) {
                return 404;
            }
            lease->second.endsAt_ = Steady::now() + lease->second.duration_;
            answer["ttlMs"] = lease->second.duration_.count();
            return 200;
        }
        if (path.starts_with("/api/kv-lease-end/")) {
            leases_.erase(number);
            endKeysOf(number);
            return 200;
        }
        return 404;
    }

    int watch(std::map<std::string, std::string> &query, Json &answer, std::unique_lock<std::mutex> &lock)
    {
        const auto prefix = query["prefix"];
        const auto after = std::strtoull(query["after"].c_str(), nullptr, 10);
        const auto end = Steady::now() + std::chrono::milliseconds(std::strtoull(query["waitMs"].c_str(), nullptr, 10));
        const auto era = era_;
        if (after > revision_ || (!history_.empty() && after + 1 < history_.front().revision_)) {
            return 410;
        }
        const auto isNews = [&](const Event &event) { return event.revision_ > after && event.key_.starts_with(prefix); };
        while (era == era_ && !isAway_ && std::none_of(history_.rbegin(), history_.rend(), isNews)) {
            if (changed_.wait_until(lock, end) == std::cv_status::timeout) {
                break;
            }
        }
        if (era != era_ || isAway_) {
            // A watch that waits is cut.
            return 503;
        }
        answer["events"] = Json::array();
        for (const auto &event : history_) {
            if (!isNews(event)) {
                continue;
            }
            if (event.item_) {
                answer["events"].push_back(jsonOf(event.key_, *event.item_));
            } else {
                answer["events"].push_back({ { "key", event.key_ }, { "revision", event.revision_ }, { "removed", true } });
            }
        }
        answer["currentRev"] = revision_;
        return 200;
    }

    static bool isForeign(const std::string &key)
    {
        return key.starts_with("op/") || key.starts_with("servers/");
    }

    int runTransaction(const Json &call, Json &answer)
    {
        bool isMet = true;
        answer["items"] = Json::array();
        for (const auto &row : call.value("expected", Json::array())) {
            const auto found = items_.find(row.at("key").get<std::string>());
            if (found != items_.end()) {
                answer["items"].push_back(jsonOf(found->first, found->second));
            }
            isMet = isMet && (found == items_.end() ? 0 : found->second.revision_) == row.at("revision").get<std::uint64_t>();
        }
        if (!isMet) {
            return 412;
        }
        for (const auto &put : call.value("puts", Json::array())) {
            const auto lease = put.value("lease", std::uint64_t(0));
            if (isForeign(put.at("key").get<std::string>())) {
                return 403;
            }
            if (lease != 0 && !leases_.contains(lease)) {
                return 404;
            }
        }
        for (const auto &put : call.value("puts", Json::array())) {
            setItem(put.at("key").get<std::string>(), unbase64(put.at("value").get<std::string>()), put.value("lease", std::uint64_t(0)));
        }
        for (const auto &key : call.value("remove", Json::array())) {
            eraseItem(key.get<std::string>());
        }
        changed_.notify_all();
        answer = { { "revision", revision_ } };
        return 200;
    }

    Record &record_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Item> items_;
    std::map<std::uint64_t, Lease> leases_;
    std::deque<Event> history_;
    std::deque<Copy> copies_;
    std::vector<Write> written_;
    std::uint64_t revision_ = 1;
    std::uint64_t lastLease_ = 70000;
    std::uint64_t era_ = 1;
    bool isAway_ = false;
    Server server_;
};

} // namespace review
