// Servers that register themselves in the store, and clients. See deployment.h.
#pragma once

#include "deployment.h"

namespace review
{

/// A server of a service: its entry in the store with a beat every 1.2 s, its listener, and what it has run.
class Server
{
public:
    /// Handles a request and sends the answer. False closes the channel.
    using Handle = std::function<bool(Server &, Channel &, const Message &)>;

    Server(Store &store, std::string service, std::string zone, std::string host, int slots, std::string stage, Handle handle)
        : store_(store)
        , service_(std::move(service))
        , zone_(std::move(zone))
        , host_(std::move(host))
        , slots_(slots)
        , stage_(std::move(stage))
        , handle_(std::move(handle))
    {
        start("i-" + randomId().substr(0, 8));
        publish();
        beats_ = std::thread([this] { beat(); });
    }

    ~Server()
    {
        isStopping_ = true;
        beats_.join();
        const std::lock_guard lock(mutex_);
        if (listener_) {
            listener_->stop();
        }
    }

    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    std::string id() const
    {
        const std::lock_guard lock(mutex_);
        return id_;
    }

    /// Whether a server that starts again has a new id and address, or those that it had.
    enum class Restart { New, Same };

    /// Ends as a process that crashes, and starts again after this time; it registers at once, under the id that it had with the new start in
    /// `born`. To be called from handle(), which then returns false.
    void crash(std::chrono::milliseconds away, Restart restart = Restart::New)
    {
        bool expected = false;
        if (!isDown_.compare_exchange_strong(expected, true)) {
            return;
        }
        std::thread([this, away, restart] {
            std::string crashed;
            std::shared_ptr<Listener> listener;
            {
                const std::lock_guard lock(mutex_);
                crashed = id_;
                listener = std::move(listener_);
            }
            listener->stop();
            const auto crashedAt = Clock::now();
            std::this_thread::sleep_until(crashedAt + away);
            if (restart == Restart::Same) {
                start(crashed);
                publish();
                isDown_ = false;
                return;
            }
            start("i-" + randomId().substr(0, 8));
            publish();
            isDown_ = false;
            // The entry of the crashed incarnation ends after three beats of silence.
            std::this_thread::sleep_until(crashedAt + 3600ms);
            store_.remove("servers/" + crashed);
        }).detach();
    }

    bool isDown() const
    {
        return isDown_;
    }

    /// Writes the entry; the return is the confirmation.
    void publish()
    {
        const std::lock_guard lock(mutex_);
        Json entry{ { "service", service_ }, { "address", listener_->address().text() }, { "zone", zone_ },
                    { "version", "v1" },     { "slots", slots_ },                          { "state", "ready" },
                    { "coldRemainingMs", 0 }, { "sequence", ++sequence_ },                 { "born", born_ } };
        if (!stage_.empty()) {
            entry["stage"] = stage_;
            entry["models"] = Json::array({ { { "name", "m" }, { "version", 1 }, { "adapters", Json::array() } } });
        }
        store_.put("servers/" + id_, entry.dump());
    }

private:
    void start(const std::string &id)
    {
        const std::lock_guard lock(mutex_);
        const bool isSame = id == id_;
        id_ = id;
        sequence_ = 0;
        born_ = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
        listener_ = std::make_shared<Listener>(host_, isSame ? port_ : std::uint16_t(0), [this, id](Channel &channel) {
            while (const auto request = readRequest(channel)) {
                if (!serve(channel, *request, id)) {
                    return;
                }
            }
        });
        port_ = listener_->address().port_;
    }

    bool serve(Channel &channel, const Message &request, const std::string &id)
    {
        const auto expected = request.header("X-Expect-Instance");
        if (!expected.empty() && expected != id) {
            return channel.send(response(421, { { "X-Attempt-Id", request.header("X-Attempt-Id") }, { "X-Instance-Id", id }, { "X-Not-Executed", "1" } }, ""));
        }
        if (request.method() == "DELETE" && request.target().rfind("/api/", 0) == 0) {
            return channel.send(response(200, {}, ""));
        }
        return handle_(*this, channel, request);
    }

    void beat()
    {
        for (auto next = Clock::now() + 1200ms; !isStopping_; std::this_thread::sleep_for(20ms)) {
            if (Clock::now() >= next) {
                next += 1200ms;
                if (!isDown_) {
                    publish();
                }
            }
        }
    }

    Store &store_;
    std::string service_;
    std::string zone_;
    std::string host_;
    int slots_;
    std::string stage_;
    Handle handle_;
    mutable std::mutex mutex_;
    std::string id_;
    std::uint16_t port_ = 0;
    std::uint64_t sequence_ = 0;
    std::int64_t born_ = 0;
    std::shared_ptr<Listener> listener_;
    std::atomic<bool> isDown_{ false };
    std::atomic<bool> isStopping_{ false };
    std::thread beats_;
};

/// What a client got for a request.
struct Outcome {
    /// 0: no head came.
    int status_ = 0;
    std::string stamp_;
    std::string attemptId_;
    std::string body_;
    bool isWhole_ = false;
    bool isConnected_ = false;
    std::int64_t takenMs_ = 0;
};

struct Call {
    std::string method_ = "GET";
    std::string target_;
    std::string host_ = "review.example";
    std::string id_ = randomId();
    std::string key_;
    std::chrono::milliseconds deadline_{ 2500 };
    std::vector<std::pair<std::string, std::string>> headers_;
    std::string body_;

    std::string bytes() const
    {
        std::string text = method_ + " " + target_ + " HTTP/1.1\r\nHost: " + host_ + "\r\nX-Attempt-Id: " + id_
            + "\r\nX-Deadline-Ms: " + std::to_string(deadline_.count()) + "\r\n";
        if (!key_.empty()) {
            text += "X-Api-Key: " + key_ + "\r\n";
        }
        for (const auto &[name, value] : headers_) {
            text += name + ": " + value + "\r\n";
        }
        if (!body_.empty() || method_ != "GET") {
            text += "Content-Length: " + std::to_string(body_.size()) + "\r\n";
        }
        return text + "\r\n" + body_;
    }
};

/// Sends a request on a channel and reads the answer until the request's deadline.
inline Outcome exchange(Channel &channel, const Call &call)
{
    const auto sentAt = Clock::now();
    const auto until = sentAt + call.deadline_;
    Outcome outcome;
    outcome.isConnected_ = true;
    if (!channel.send(call.bytes())) {
        return outcome;
    }
    if (auto answer = readHead(channel, until)) {
        readBody(channel, *answer, true, until);
        outcome.status_ = answer->status();
        outcome.stamp_ = answer->header("X-Response-Stamp");
        outcome.attemptId_ = answer->header("X-Attempt-Id");
        outcome.isWhole_ = answer->isWhole_;
        outcome.body_ = std::move(answer->body_);
    }
    outcome.takenMs_ = millisecondsSince(sentAt);
    return outcome;
}

/// The same on a new channel.
inline Outcome exchange(const Address &gateway, const Call &call)
{
    const auto channel = Channel::connectTo(gateway);
    return channel ? exchange(*channel, call) : Outcome{};
}

/// Sleeps for the pauses of a Poisson process.
class Pacer
{
public:
    explicit Pacer(double perSecond)
        : pause_(perSecond)
        , next_(Clock::now())
    {
    }

    void wait()
    {
        next_ += std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(pause_(random_)));
        std::this_thread::sleep_until(next_);
    }

private:
    std::mt19937_64 random_{ std::random_device()() };
    std::exponential_distribution<double> pause_;
    Time next_;
};

/// Threads that are joined at the end.
class Threads
{
public:
    ~Threads()
    {
        join();
    }

    void start(std::function<void()> run)
    {
        threads_.emplace_back(std::move(run));
    }

    void join()
    {
        for (auto &thread : threads_) {
            thread.join();
        }
        threads_.clear();
    }

private:
    std::vector<std::thread> threads_;
};

} // namespace review
