// Stand-ins for one test program: the platform's store and API, servers, clients, and the gateway as a separate process.
// Everything listens on loopback addresses of its own, at free ports. The stand-ins are threads of the test program; the gateways are
// started with the command of deploy/system.toml and settings filled in from platform/settings.template.
#pragma once

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

namespace review
{

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using namespace std::chrono_literals;

inline std::int64_t millisecondsSince(Time from)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - from).count();
}

/// record.txt: what was sent, answered and run. Thread safe.
class Record
{
public:
    explicit Record(const std::string &path)
        : file_(std::fopen(path.c_str(), "w"))
    {
    }

    ~Record()
    {
        if (file_ != nullptr) {
            std::fclose(file_);
        }
    }

    __attribute__((format(printf, 2, 3))) void write(const char *format, ...)
    {
        const std::lock_guard lock(mutex_);
        if (file_ == nullptr) {
            return;
        }
        std::fprintf(file_, "%9.3f ", double(millisecondsSince(start_)) / 1000);
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(file_, format, arguments);
        va_end(arguments);
        std::fputc('\n', file_);
        std::fflush(file_);
    }

private:
    std::mutex mutex_;
    Time start_ = Clock::now();
    std::FILE *file_;
};

struct Address {
    std::string host_;
    std::uint16_t port_ = 0;

    std::string text() const
    {
        return host_ + ":" + std::to_string(port_);
    }
};

/// A socket that is read through a buffer.
class Channel
{
public:
    explicit Channel(int socket)
        : socket_(socket)
    {
        const int one = 1;
        setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    }

    ~Channel()
    {
        close();
    }

    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;

    static std::unique_ptr<Channel> connectTo(const Address &address, std::chrono::milliseconds timeout = 1000ms)
    {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in name{};
        name.sin_family = AF_INET;
        name.sin_port = htons(address.port_);
        inet_pton(AF_INET, address.host_.c_str(), &name.sin_addr);
        fcntl(socket, F_SETFL, O_NONBLOCK);
        const int result = ::connect(socket, reinterpret_cast<sockaddr *>(&name), sizeof name);
        pollfd ready{ socket, POLLOUT, 0 };
        int error = 0;
        socklen_t size = sizeof error;
        const bool isOpen = result == 0
            || (errno == EINPROGRESS && poll(&ready, 1, int(timeout.count())) == 1 && getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) == 0
                && error == 0);
        if (!isOpen) {
            ::close(socket);
            return nullptr;
        }
        fcntl(socket, F_SETFL, 0);
        return std::make_unique<Channel>(socket);
    }

    bool send(const std::string &bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto count = ::send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += std::size_t(count);
        }
        return true;
    }

    /// Reads more into the buffer. False at the end, after an error or after the deadline.
    bool fill(std::optional<Time> deadline = std::nullopt)
    {
        if (deadline) {
            const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(*deadline - Clock::now()).count();
            pollfd ready{ socket_, POLLIN, 0 };
            if (left <= 0 || poll(&ready, 1, int(left) + 1) != 1) {
                timedOut_ = true;
                return false;
            }
        }
        char bytes[16384];
        const auto count = ::recv(socket_, bytes, sizeof bytes, 0);
        if (count <= 0) {
            wasReset_ = count < 0;
            return false;
        }
        buffer_.append(bytes, std::size_t(count));
        return true;
    }

    std::optional<std::string> line(std::optional<Time> deadline = std::nullopt)
    {
        for (;;) {
            const auto end = buffer_.find('\n');
            if (end != std::string::npos) {
                auto text = buffer_.substr(0, end);
                buffer_.erase(0, end + 1);
                if (!text.empty() && text.back() == '\r') {
                    text.pop_back();
                }
                return text;
            }
            if (!fill(deadline)) {
                return std::nullopt;
            }
        }
    }

    std::optional<std::string> bytes(std::size_t size, std::optional<Time> deadline = std::nullopt)
    {
        while (buffer_.size() < size) {
            if (!fill(deadline)) {
                return std::nullopt;
            }
        }
        auto result = buffer_.substr(0, size);
        buffer_.erase(0, size);
        return result;
    }

    /// True if the other end has closed or sent something.
    bool isReadable(std::chrono::milliseconds wait) const
    {
        pollfd ready{ socket_, POLLIN, 0 };
        return !buffer_.empty() || poll(&ready, 1, int(wait.count())) == 1;
    }

    /// Closes with a reset, as a server that crashes does with unread bytes.
    void reset()
    {
        const linger none{ 1, 0 };
        setsockopt(socket_, SOL_SOCKET, SO_LINGER, &none, sizeof none);
        close();
    }

    /// Wakes a thread that reads from this channel.
    void abort()
    {
        const linger none{ 1, 0 };
        setsockopt(socket_, SOL_SOCKET, SO_LINGER, &none, sizeof none);
        ::shutdown(socket_, SHUT_RDWR);
    }

    void close()
    {
        if (socket_ >= 0) {
            ::close(socket_);
            socket_ = -1;
        }
    }

    bool timedOut_ = false;
    bool wasReset_ = false;

private:
    int socket_;
    std::string buffer_;
};

inline bool isSameName(const std::string &left, const std::string &right)
{
    return left.size() == right.size()
        && std::equal(left.begin(), left.end(), right.begin(), [](char a, char b) { return std::tolower(a) == std::tolower(b); });
}

struct Message {
    std::string start_;
    std::vector<std::pair<std::string, std::string>> headers_;
    std::string body_;
    /// False if the channel ended within the message.
    bool isWhole_ = false;

    std::string header(const std::string &name) const
    {
        for (const auto &[field, value] : headers_) {
            if (isSameName(field, name)) {
                return value;
            }
        }
        return {};
    }

    std::size_t count(const std::string &name) const
    {
        return std::size_t(std::count_if(headers_.begin(), headers_.end(), [&](const auto &field) { return isSameName(field.first, name); }));
    }

    std::string method() const
    {
        return start_.substr(0, start_.find(' '));
    }

    std::string target() const
    {
        const auto begin = start_.find(' ') + 1;
        return start_.substr(begin, start_.find(' ', begin) - begin);
    }

    int status() const
    {
        return start_.size() > 12 ? std::atoi(start_.substr(9, 3).c_str()) : 0;
    }
};

inline std::optional<Message> readHead(Channel &channel, std::optional<Time> deadline = std::nullopt)
{
    Message message;
    const auto start = channel.line(deadline);
    if (!start) {
        return std::nullopt;
    }
    message.start_ = *start;
    for (;;) {
        const auto line = channel.line(deadline);
        if (!line) {
            return std::nullopt;
        }
        if (line->empty()) {
            return message;
        }
        const auto colon = line->find(':');
        if (colon == std::string::npos) {
            return std::nullopt;
        }
        auto value = line->substr(colon + 1);
        value.erase(0, value.find_first_not_of(" \t"));
        value.erase(value.find_last_not_of(" \t") + 1);
        message.headers_.emplace_back(line->substr(0, colon), value);
    }
}

/// Reads the body that follows a head. isAnswer: without a length it ends with the channel.
inline void readBody(Channel &channel, Message &message, bool isAnswer, std::optional<Time> deadline = std::nullopt)
{
    if (isSameName(message.header("Transfer-Encoding"), "chunked")) {
        for (;;) {
            const auto size = channel.line(deadline);
            if (!size) {
                return;
            }
            const auto length = std::strtoull(size->c_str(), nullptr, 16);
            if (length == 0) {
                while (const auto trailer = channel.line(deadline)) {
                    if (trailer->empty()) {
                        message.isWhole_ = true;
                        return;
                    }
                }
                return;
            }
            const auto chunk = channel.bytes(length, deadline);
            if (!chunk) {
                return;
            }
            message.body_ += *chunk;
            if (!channel.line(deadline)) {
                return;
            }
        }
    }
    const auto length = message.header("Content-Length");
    if (!length.empty()) {
        const auto body = channel.bytes(std::strtoull(length.c_str(), nullptr, 10), deadline);
        message.isWhole_ = body.has_value();
        message.body_ = body.value_or(std::string());
    } else if (!isAnswer) {
        message.isWhole_ = true;
    } else {
        while (const auto byte = channel.bytes(1, deadline)) {
            message.body_ += *byte;
        }
        message.isWhole_ = !channel.timedOut_ && !channel.wasReset_;
    }
}

inline std::optional<Message> readRequest(Channel &channel)
{
    auto message = readHead(channel);
    if (message) {
        readBody(channel, *message, false);
    }
    return message && message->isWhole_ ? message : std::nullopt;
}

inline std::string response(int status, const std::vector<std::pair<std::string, std::string>> &headers, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (const auto &[name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Accepts channels and serves each in a thread.
class Listener
{
public:
    using Serve = std::function<void(Channel &)>;

    Listener(const std::string &host, std::uint16_t port, Serve serve)
        : serve_(std::move(serve))
    {
        socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int one = 1;
        setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        sockaddr_in name{};
        name.sin_family = AF_INET;
        name.sin_port = htons(port);
        inet_pton(AF_INET, host.c_str(), &name.sin_addr);
        if (bind(socket_, reinterpret_cast<sockaddr *>(&name), sizeof name) != 0 || listen(socket_, 512) != 0) {
            std::fprintf(stderr, "cannot listen at %s\n", host.c_str());
            std::_Exit(2);
        }
        socklen_t size = sizeof name;
        getsockname(socket_, reinterpret_cast<sockaddr *>(&name), &size);
        address_ = { host, ntohs(name.sin_port) };
        thread_ = std::thread([this] { accept(); });
    }

    ~Listener()
    {
        stop();
    }

    /// Closes the listening socket and resets all channels, as the end of the process does.
    void stop()
    {
        if (isStopped_.exchange(true)) {
            return;
        }
        ::shutdown(socket_, SHUT_RDWR);
        thread_.join();
        ::close(socket_);
        {
            const std::lock_guard lock(mutex_);
            for (const auto &channel : channels_) {
                channel->abort();
            }
        }
        std::unique_lock lock(mutex_);
        ended_.wait_for(lock, 5s, [this] { return channels_.empty(); });
    }

    const Address &address() const
    {
        return address_;
    }

private:
    void accept()
    {
        for (;;) {
            const int socket = ::accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0 || isStopped_) {
                if (socket >= 0) {
                    ::close(socket);
                }
                return;
            }
            auto channel = std::make_shared<Channel>(socket);
            {
                const std::lock_guard lock(mutex_);
                channels_.insert(channel);
            }
            std::thread([this, channel] {
                serve_(*channel);
                // Under the lock, since stop() may be about to abort the channel.
                const std::lock_guard lock(mutex_);
                channel->close();
                channels_.erase(channel);
                ended_.notify_all();
            }).detach();
        }
    }

    Serve serve_;
    int socket_;
    Address address_;
    std::atomic<bool> isStopped_{ false };
    std::mutex mutex_;
    std::condition_variable ended_;
    std::set<std::shared_ptr<Channel>> channels_;
    std::thread thread_;
};

inline std::string encode64(const std::string &bytes)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        const auto count = std::min<std::size_t>(3, bytes.size() - at);
        for (std::size_t i = 0; i < 3; ++i) {
            group = group << 8U | (i < count ? std::uint8_t(bytes[at + i]) : 0U);
        }
        for (std::size_t i = 0; i < 4; ++i) {
            text += i <= count ? digits[group >> (18 - 6 * i) & 63U] : '=';
        }
    }
    return text;
}

inline std::string decode64(const std::string &text)
{
    std::string bytes;
    std::uint32_t group = 0;
    int bits = 0;
    for (const char c : text) {
        int digit = 0;
        if (c >= 'A' && c <= 'Z') {
            digit = c - 'A';
        } else if (c >= 'a' && c <= 'z') {
            digit = c - 'a' + 26;
        } else if (c >= '0' && c <= '9') {
            digit = c - '0' + 52;
        } else if (c == '+' || c == '/') {
            digit = c == '+' ? 62 : 63;
        } else {
            break;
        }
        group = group << 6U | std::uint32_t(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += char(group >> bits & 255U);
        }
    }
    return bytes;
}

inline std::string decodeUri(const std::string &text)
{
    std::string bytes;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            bytes += char(std::strtol(text.substr(at + 1, 2).c_str(), nullptr, 16));
            at += 2;
        } else {
            bytes += text[at];
        }
    }
    return bytes;
}

inline std::map<std::string, std::string> queryOf(const std::string &target)
{
    std::map<std::string, std::string> query;
    const auto mark = target.find('?');
    if (mark == std::string::npos) {
        return query;
    }
    std::stringstream fields(target.substr(mark + 1));
    for (std::string field; std::getline(fields, field, '&');) {
        const auto equal = field.find('=');
        query[field.substr(0, equal)] = equal == std::string::npos ? "" : decodeUri(field.substr(equal + 1));
    }
    return query;
}

/// The platform's metadata store.
class Store
{
public:
    explicit Store(const std::string &host)
        : listener_(host, 0, [this](Channel &channel) { serve(channel); })
        , expiry_([this] { expire(); })
    {
    }

    ~Store()
    {
        {
            const std::lock_guard lock(mutex_);
            isStopping_ = true;
            changed_.notify_all();
        }
        expiry_.join();
        listener_.stop();
    }

    const Address &address() const
    {
        return listener_.address();
    }

    /// As the operator or a server. Returns the revision; the call's return is the confirmation.
    std::uint64_t put(const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(mutex_);
        ++revision_;
        write(key, value, 0);
        changed_.notify_all();
        return revision_;
    }

    void remove(const std::string &key)
    {
        const std::lock_guard lock(mutex_);
        if (items_.count(key) > 0) {
            ++revision_;
            erase(key);
            changed_.notify_all();
        }
    }

    /// What the operator reads under a prefix.
    std::map<std::string, std::string> read(const std::string &prefix)
    {
        const std::lock_guard lock(mutex_);
        std::map<std::string, std::string> values;
        for (auto item = items_.lower_bound(prefix); item != items_.end() && item->first.rfind(prefix, 0) == 0; ++item) {
            values[item->first] = item->second.value_;
        }
        return values;
    }

private:
    struct Item {
        std::string value_;
        std::uint64_t revision_ = 0;
        std::uint64_t createRevision_ = 0;
        std::uint64_t lease_ = 0;
    };

    struct Event {
        std::uint64_t revision_;
        std::string key_;
        Json json_;
    };

    struct Lease {
        std::chrono::milliseconds ttl_;
        Time endsAt_;
    };

    static Json toJson(const std::string &key, const Item &item)
    {
        return { { "key", key },
                 { "value", encode64(item.value_) },
                 { "revision", item.revision_ },
                 { "createRev", item.createRevision_ },
                 { "lease", item.lease_ } };
    }

    void write(const std::string &key, const std::string &value, std::uint64_t lease)
    {
        auto &item = items_[key];
        item.value_ = value;
        item.revision_ = revision_;
        item.createRevision_ = item.createRevision_ == 0 ? revision_ : item.createRevision_;
        item.lease_ = lease;
        events_.push_back({ revision_, key, toJson(key, item) });
    }

    void erase(const std::string &key)
    {
        if (items_.erase(key) > 0) {
            events_.push_back({ revision_, key, { { "key", key }, { "revision", revision_ }, { "removed", true } } });
        }
    }

    void endLease(std::uint64_t lease)
    {
        leases_.erase(lease);
        std::vector<std::string> keys;
        for (const auto &[key, item] : items_) {
            if (item.lease_ == lease) {
                keys.push_back(key);
            }
        }
        if (!keys.empty()) {
            ++revision_;
            std::for_each(keys.begin(), keys.end(), [this](const auto &key) { erase(key); });
            changed_.notify_all();
        }
    }

    void expire()
    {
        std::unique_lock lock(mutex_);
        while (!isStopping_) {
            changed_.wait_for(lock, 20ms);
            const auto now = Clock::now();
            std::vector<std::uint64_t> ended;
            for (const auto &[id, lease] : leases_) {
                if (now >= lease.endsAt_) {
                    ended.push_back(id);
                }
            }
            std::for_each(ended.begin(), ended.end(), [this](auto id) { endLease(id); });
        }
    }

    void serve(Channel &channel)
    {
        while (const auto request = readRequest(channel)) {
            std::this_thread::sleep_for(4ms);
            int status = 200;
            const auto body = answer(*request, status);
            if (!channel.send(response(status, { { "Content-Type", "application/json" } }, body.dump()))) {
                return;
            }
        }
    }

    Json answer(const Message &request, int &status)
    {
        const auto target = request.target();
        const auto path = target.substr(0, target.find('?'));
        auto query = queryOf(target);
        std::unique_lock lock(mutex_);
        if (path == "/api/kv-key") {
            const auto item = items_.find(query["key"]);
            if (item == items_.end()) {
                status = 404;
                return { { "currentRev", revision_ } };
            }
            auto json = toJson(item->first, item->second);
            json["currentRev"] = revision_;
            return json;
        }
        if (path == "/api/kv-range") {
            const auto prefix = query["prefix"];
            auto items = Json::array();
            for (auto item = query.count("after") > 0 ? items_.upper_bound(query["after"]) : items_.lower_bound(prefix);
                 item != items_.end() && item->first.rfind(prefix, 0) == 0;
                 ++item) {
                items.push_back(toJson(item->first, item->second));
            }
            return { { "items", items }, { "hasMore", false }, { "currentRev", revision_ } };
        }
        if (path == "/api/kv-watch") {
            const auto after = std::strtoull(query["after"].c_str(), nullptr, 10);
            const auto until = Clock::now() + std::chrono::milliseconds(std::strtoull(query["waitMs"].c_str(), nullptr, 10));
            for (;;) {
                auto events = Json::array();
                for (const auto &event : events_) {
                    if (event.revision_ > after && event.key_.rfind(query["prefix"], 0) == 0) {
                        events.push_back(event.json_);
                    }
                }
                if (!events.empty() || isStopping_ || Clock::now() >= until) {
                    return { { "events", events }, { "currentRev", revision_ } };
                }
                changed_.wait_until(lock, until);
            }
        }
        if (path == "/api/kv-txn") {
            return transact(Json::parse(request.body_), status);
        }
        if (path == "/api/kv-lease") {
            const std::chrono::milliseconds ttl(std::max<std::int64_t>(1000, Json::parse(request.body_).at("ttlMs").get<std::int64_t>()));
            leases_[++lastLease_] = { ttl, Clock::now() + ttl };
            return { { "lease", lastLease_ }, { "ttlMs", ttl.count() } };
        }
        const auto id = std::strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
        const auto lease = leases_.find(id);
        if (lease == leases_.end()) {
            status = 404;
        } else if (path.rfind("/api/kv-keep/", 0) == 0) {
            lease->second.endsAt_ = Clock::now() + lease->second.ttl_;
        } else {
            endLease(id);
        }
        return Json::object();
    }

    Json transact(const Json &call, int &status)
    {
        auto current = Json::array();
        bool holds = true;
        for (const auto &row : call.value("expected", Json::array())) {
            const auto item = items_.find(row.at("key").get<std::string>());
            holds = holds && (item == items_.end() ? 0 : item->second.revision_) == row.at("revision").get<std::uint64_t>();
            if (item != items_.end()) {
                current.push_back(toJson(item->first, item->second));
            }
        }
        if (!holds) {
            status = 412;
            return { { "items", current }, { "currentRev", revision_ } };
        }
        for (const auto &put : call.value("puts", Json::array())) {
            if (put.value("lease", 0ULL) != 0 && leases_.count(put.value("lease", 0ULL)) == 0) {
                status = 404;
                return Json::object();
            }
        }
        ++revision_;
        for (const auto &put : call.value("puts", Json::array())) {
            write(put.at("key").get<std::string>(), decode64(put.at("value").get<std::string>()), put.value("lease", 0ULL));
        }
        for (const auto &key : call.value("remove", Json::array())) {
            erase(key.get<std::string>());
        }
        changed_.notify_all();
        return { { "revision", revision_ } };
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    bool isStopping_ = false;
    std::uint64_t revision_ = 1;
    std::uint64_t lastLease_ = 0;
    std::map<std::string, Item> items_;
    std::vector<Event> events_;
    std::map<std::uint64_t, Lease> leases_;
    Listener listener_;
    std::thread expiry_;
};

/// The platform's API for duties: accepts all calls.
class Platform
{
public:
    explicit Platform(const std::string &host)
        : listener_(host, 0, [](Channel &channel) {
            while (readRequest(channel)) {
                if (!channel.send(response(200, {}, "{}"))) {
                    return;
                }
            }
        })
    {
    }

    const Address &address() const
    {
        return listener_.address();
    }

private:
    Listener listener_;
};

/// A gateway process.
class Gateway
{
public:
    Gateway(std::string name, std::string zone, std::string host, const Address &store, const Address &platform, const std::string &folder)
        : name_(std::move(name))
        , settings_(folder + "/" + name_ + ".settings")
        , log_(folder + "/" + name_ + ".log")
    {
        callers_ = { host, freePort(host) };
        readiness_ = { host, freePort(host) };
        const std::map<std::string, std::string> values{
            { "{{nodeName|json}}", quoted(name_) },
            { "{{zone|json}}", quoted(zone) },
            { "{{listen.front|json}}", quoted(callers_.text()) },
            { "{{listen.ready|json}}", quoted(readiness_.text()) },
            { "{{provider.address|json}}", quoted(store.text()) },
            { "{{cloud.address|json}}", quoted(platform.text()) },
            { "{{ip}}", host },
            { "{{internalPorts.0}}", std::to_string(freePort(host)) },
            { "{{bounds.revokeMs}}", "5000" },
            { "{{bounds.configMs}}", "2000" },
            { "{{bounds.drainMs}}", "2000" },
            { "{{bounds.graceS}}", "8" },
            { "{{bounds.budgetSlack}}", "54" },
            { "{{bounds.reportWindowS}}", "5" },
            { "{{bounds.usageLateS}}", "10" },
            { "{{bounds.leaseMs}}", "3000" },
        };
        std::ifstream file("platform/settings.template");
        std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
        for (const auto &[placeholder, value] : values) {
            for (auto at = text.find(placeholder); at != std::string::npos; at = text.find(placeholder, at + value.size())) {
                text.replace(at, placeholder.size(), value);
            }
        }
        if (text.empty() || text.find("{{") != std::string::npos) {
            std::fprintf(stderr, "platform/settings.template has a placeholder that this test does not know\n");
            std::_Exit(2);
        }
        std::ofstream(settings_) << text;
        start();
    }

    ~Gateway()
    {
        if (process_ > 0) {
            kill(process_, SIGCONT);
            kill(process_, SIGKILL);
            waitpid(process_, nullptr, 0);
        }
    }

    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    void start()
    {
        process_ = fork();
        if (process_ == 0) {
            // Ends with the test program, also if that is ended from outside.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int log = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(log, 1);
            dup2(log, 2);
            const auto path = std::string("PATH=") + (std::getenv("PATH") != nullptr ? std::getenv("PATH") : "/usr/bin:/bin");
            const auto variable = "COWSLIPHEAD_SETTINGS=" + settings_;
            char program[] = "target/cowsliphead";
            char command[] = "gateway";
            char *arguments[] = { program, command, nullptr };
            char *environment[] = { const_cast<char *>(path.c_str()), const_cast<char *>(variable.c_str()), nullptr };
            execve(program, arguments, environment);
            std::_Exit(127);
        }
    }

    bool waitUntilReady(std::chrono::milliseconds time)
    {
        const auto until = Clock::now() + time;
        while (Clock::now() < until) {
            if (isReady()) {
                return true;
            }
            std::this_thread::sleep_for(50ms);
        }
        return false;
    }

    bool isReady() const
    {
        const auto channel = Channel::connectTo(readiness_, 300ms);
        if (!channel || !channel->send("GET /api/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")) {
            return false;
        }
        const auto head = readHead(*channel, Clock::now() + 500ms);
        return head && head->status() == 200;
    }

    /// The status of a process that has ended by itself, as waitpid() gives it.
    std::optional<int> exitStatus()
    {
        int status = 0;
        if (process_ > 0 && waitpid(process_, &status, WNOHANG) == process_) {
            process_ = -1;
            return status;
        }
        return std::nullopt;
    }

    void signal(int number) const
    {
        if (process_ > 0) {
            kill(process_, number);
        }
    }

    /// Waits for the end of the process.
    void join()
    {
        if (process_ > 0) {
            waitpid(process_, nullptr, 0);
            process_ = -1;
        }
    }

    pid_t process() const
    {
        return process_;
    }

    const Address &callers() const
    {
        return callers_;
    }

    const std::string &name() const
    {
        return name_;
    }

    const std::string &settingsFile() const
    {
        return settings_;
    }

    const std::string &logFile() const
    {
        return log_;
    }

private:
    static std::string quoted(const std::string &text)
    {
        return "\"" + text + "\"";
    }

    static std::uint16_t freePort(const std::string &host)
    {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in name{};
        name.sin_family = AF_INET;
        inet_pton(AF_INET, host.c_str(), &name.sin_addr);
        bind(socket, reinterpret_cast<sockaddr *>(&name), sizeof name);
        socklen_t size = sizeof name;
        getsockname(socket, reinterpret_cast<sockaddr *>(&name), &size);
        ::close(socket);
        return ntohs(name.sin_port);
    }

    std::string name_;
    std::string settings_;
    std::string log_;
    Address callers_;
    Address readiness_;
    pid_t process_ = -1;
};

/// Addresses, a temporary folder, the store and the platform of one run.
class Deployment
{
public:
    Deployment()
    {
        ::signal(SIGPIPE, SIG_IGN);
        std::random_device random;
        network_ = "127." + std::to_string(20 + random() % 200) + "." + std::to_string(random() % 250) + ".";
        folder_ = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        if (mkdtemp(folder_.data()) == nullptr) {
            std::fprintf(stderr, "no temporary folder\n");
            std::_Exit(2);
        }
        store_ = std::make_unique<Store>(host());
        platform_ = std::make_unique<Platform>(host());
    }

    ~Deployment()
    {
        gateways_.clear();
        if (std::getenv("KEEP") == nullptr) {
            std::filesystem::remove_all(folder_);
        } else {
            std::fprintf(stderr, "kept %s\n", folder_.c_str());
        }
    }

    /// The next loopback address.
    std::string host()
    {
        return network_ + std::to_string(++lastHost_);
    }

    Store &store()
    {
        return *store_;
    }

    const std::string &folder() const
    {
        return folder_;
    }

    /// The disruption is left out with TROUBLE=0.
    static bool hasTrouble()
    {
        const char *value = std::getenv("TROUBLE");
        return value == nullptr || std::string(value) != "0";
    }

    Gateway &addGateway(const std::string &name, const std::string &zone)
    {
        gateways_.push_back(std::make_unique<Gateway>(name, zone, host(), store_->address(), platform_->address(), folder_));
        return *gateways_.back();
    }

    std::vector<std::unique_ptr<Gateway>> &gateways()
    {
        return gateways_;
    }

    bool waitUntilReady(std::chrono::milliseconds time = 10s)
    {
        return std::all_of(gateways_.begin(), gateways_.end(), [time](const auto &gateway) { return gateway->waitUntilReady(time); });
    }

private:
    std::string network_;
    int lastHost_ = 0;
    std::string folder_;
    std::unique_ptr<Store> store_;
    std::unique_ptr<Platform> platform_;
    std::vector<std::unique_ptr<Gateway>> gateways_;
};

inline std::string randomId()
{
    static std::mutex mutex;
    static std::mt19937_64 random{ std::random_device()() };
    const std::lock_guard lock(mutex);
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

} // namespace review
