// Model servers that a part of a prompt crashes, and the requests for them. See servers.h.
#pragma once

#include "servers.h"

namespace review
{

constexpr auto ContactTime = 3000ms;
constexpr std::size_t FifthCrash = 5;
constexpr std::size_t AllowedLate = 3;
constexpr const char *CrashingPart = "dead0001:50";
constexpr const char *Zones[] = { "zone-a", "zone-b", "zone-c" };

/// As on the small sites: 18 servers, six of them of the stage prefill, and 7 gateways in 3 zones.
constexpr int ServersPerZone = 6;
constexpr int PrefillPerZone = 2;
constexpr int GatewaysInZone[] = { 3, 2, 2 };

/// A deployment whose model servers crash as they begin to write an answer on a part.
class ModelDeployment
{
public:
    ModelDeployment(Record &record, std::chrono::milliseconds away, Server::Restart restart)
        : record_(record)
        , away_(away)
        , restart_(restart)
    {
        deployment_.store().put("op/config", configuration().dump());
        for (const auto *zone : Zones) {
            for (int number = 0; number < ServersPerZone; ++number) {
                servers_.push_back(std::make_unique<Server>(deployment_.store(), "models", zone, deployment_.host(), 12,
                                                            number < PrefillPerZone ? "prefill" : "decode",
                                                            [this](Server &server, Channel &channel, const Message &request) { return run(server, channel, request); }));
            }
        }
        int number = 0;
        for (std::size_t zone = 0; zone < std::size(Zones); ++zone) {
            for (int count = 0; count < GatewaysInZone[zone]; ++count) {
                deployment_.addGateway("front-" + std::to_string(++number), Zones[zone]);
            }
        }
    }

    bool waitUntilReady()
    {
        const bool isReady = deployment_.waitUntilReady();
        std::this_thread::sleep_for(4s);
        return isReady;
    }

    /// A request like line-gloss of the small sites, with this part as the second one.
    static Call makeCall(const std::string &part)
    {
        Call call;
        call.method_ = "POST";
        call.target_ = "/gloss/2f";
        call.key_ = "key-1";
        call.deadline_ = 3000ms;
        call.headers_ = { { "X-Model", "m" }, { "X-Token-Count", "380,5" }, { "X-Prompt-Prefix", "f1f1f1f1:55," + part + "," + call.id_.substr(0, 8) + ":275" } };
        call.body_ = "prompt " + call.id_;
        return call;
    }

    const Address &gateway(std::size_t number)
    {
        return deployment_.gateways()[number % deployment_.gateways().size()]->callers();
    }

    /// Sends a request with the part that crashes servers.
    void sendCrashing(std::size_t number)
    {
        const auto call = makeCall(CrashingPart);
        const auto outcome = exchange(gateway(number), call);
        record_.write("%s with the part is answered %d, %s", call.id_.c_str(), outcome.status_, outcome.isWhole_ ? "whole" : "not whole");
    }

    /// Sends sound requests until isOver, which share the first part and the key with those that crash servers.
    void startSoundRequests(Threads &threads, double perSecond, const std::atomic<bool> &isOver)
    {
        constexpr int Clients = 60;
        constexpr int Parts = 500;
        for (int client = 0; client < Clients; ++client) {
            threads.start([this, client, perSecond, &isOver] {
                std::mt19937_64 random{ std::random_device()() };
                for (Pacer pacer(perSecond / Clients); !isOver;) {
                    pacer.wait();
                    const auto outcome = exchange(gateway(random()), makeCall("aa" + std::to_string(random() % Parts) + ":37"));
                    ++sound_;
                    soundServed_ += outcome.status_ == 200 && outcome.isWhole_ ? 1 : 0;
                }
            });
        }
    }

    /// Ends the servers, writes the result, and returns the exit code.
    int finish()
    {
        servers_.clear();
        std::size_t late = 0;
        if (crashes_.size() >= FifthCrash) {
            const auto from = crashes_[FifthCrash - 1] + ContactTime;
            late = std::size_t(std::count_if(arrivals_.begin(), arrivals_.end(), [from](Time at) { return at > from; }));
        }
        record_.write("sound requests: %d, served %d", sound_.load(), soundServed_.load());
        record_.write("crashes: %zu; requests with the part that reached servers: %zu; of these later than %lld ms after the fifth crash: %zu (allowed: %zu)",
                      crashes_.size(), arrivals_.size(), static_cast<long long>(ContactTime.count()), late, AllowedLate);
        return late > AllowedLate ? 1 : 0;
    }

private:
    static Json configuration()
    {
        return {
            { "version", 7 },
            { "routes",
              { { { "name", "r-gloss" },
                  { "hostname", "review.example" },
                  { "prefix", "/gloss/" },
                  { "kind", "streaming" },
                  { "timeoutMs", 3000 },
                  { "targetLatencyMs", 250 },
                  { "priority", 0 },
                  { "service", "models" },
                  { "maxAttempts", 1 },
                  { "allowAnonymous", false },
                  { "sticky", true },
                  { "resumable", false },
                  { "gapAimMs", 150 } } } },
            { "services",
              { { { "name", "models" },
                  { "healthPath", "/health" },
                  { "maxConnections", 150 },
                  { "protocol", "h1" },
                  { "tls", false },
                  { "engine",
                    { { "slots", 12 },
                      { "kvCapacityTokens", 356225 },
                      { "kvTokenBytes", 327680 },
                      { "linkMbps", 1900000.0 },
                      { "handleTtlS", 5.0 },
                      { "switchS", 3.0 },
                      { "models", { { { "name", "m" } } } } } } } } },
            { "limits", { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 4194304 }, { "headerTimeoutMs", 3000 }, { "idleTimeoutMs", 15000 } } },
            { "tenants", { { { "name", "tenant-1" }, { "apiKeys", { "key-1" } }, { "priority", 1 } } } },
        };
    }

    bool run(Server &server, Channel &channel, const Message &request)
    {
        const auto id = request.header("X-Attempt-Id");
        const bool isCrashing = request.header("X-Prompt-Prefix").find(CrashingPart) != std::string::npos;
        const auto name = server.id();
        if (request.header("X-Stage") == "prefill") {
            std::this_thread::sleep_for(10ms);
            const Json answer{ { "handle", randomId().substr(0, 12) }, { "tokens", 380 }, { "version", 1 } };
            return channel.send(response(200, { { "X-Attempt-Id", id }, { "Content-Type", "application/json" } }, answer.dump()));
        }
        if (isCrashing) {
            const std::lock_guard lock(mutex_);
            arrivals_.push_back(Clock::now());
            record_.write("%s with the part reaches %s", id.c_str(), name.c_str());
        }
        std::this_thread::sleep_for(30ms);
        if (isCrashing && Deployment::hasTrouble()) {
            const std::lock_guard lock(mutex_);
            if (!server.isDown()) {
                crashes_.push_back(Clock::now());
                record_.write("%s crashes as it begins to answer %s (crash %zu)", name.c_str(), id.c_str(), crashes_.size());
                server.crash(away_, restart_);
            }
            return false;
        }
        std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: " + id + "\r\nX-Response-Stamp: s." + name
            + "\r\nX-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
        for (int event = 1; event <= 5; ++event) {
            const auto text = "id: " + std::to_string(event) + "\ndata: token\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", text.size());
            if (!channel.send(head + size + text + "\r\n")) {
                return false;
            }
            head.clear();
            std::this_thread::sleep_for(8ms);
        }
        return channel.send("0\r\n\r\n");
    }

    Record &record_;
    std::chrono::milliseconds away_;
    Server::Restart restart_;
    std::mutex mutex_;
    std::vector<Time> crashes_;
    std::vector<Time> arrivals_;
    std::atomic<int> sound_{ 0 };
    std::atomic<int> soundServed_{ 0 };
    Deployment deployment_;
    std::vector<std::unique_ptr<Server>> servers_;
};

} // namespace review
