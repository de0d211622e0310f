#pragma once

// A small deployment on loopback addresses: gateways as separate processes; store, platform, servers and callers as threads of this process.

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>

#include <sys/prctl.h>
#include <sys/wait.h>

#include "store.h"

namespace review
{

using namespace std::chrono_literals;

inline void sleepFor(std::chrono::milliseconds time)
{
    std::this_thread::sleep_for(time);
}

// A process of the system under test.
class Gateway
{
public:
    Gateway(std::string name, std::string zone, std::string ip, std::string settings, std::string log, Record &record)
        : name_(std::move(name))
        , zone_(std::move(zone))
        , ip_(std::move(ip))
        , settings_(std::move(settings))
        , log_(std::move(log))
        , record_(record)
    {
    }

    ~Gateway()
    {
        if (pid_ > 0) {
            kill(pid_, SIGKILL);
            kill(pid_, SIGCONT);
            waitpid(pid_, nullptr, 0);
        }
    }

    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    void start()
    {
        const auto variable = "COWSLIPHEAD_SETTINGS=" + settings_;
        const auto path = std::string("PATH=") + getenv("PATH");
        const pid_t pid = fork();
        if (pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int log = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(log, STDOUT_FILENO);
            dup2(log, STDERR_FILENO);
            char *const arguments[] = { const_cast<char *>("target/cowsliphead"), const_cast<char *>("gateway"), nullptr };
            char *const environment[] = { const_cast<char *>(variable.c_str()), const_cast<char *>(path.c_str()), nullptr };
            execve("target/cowsliphead", arguments, environment);
            _exit(127);
        }
        pid_ = pid;
        record_.add(name_ + ": started");
    }

    void signal(int number)
    {
        record_.add(name_ + ": signal " + std::to_string(number));
        kill(pid_, number);
    }

    // How the process ended by now; nothing while it runs.
    std::optional<std::string> end()
    {
        int status = 0;
        if (pid_ <= 0 || waitpid(pid_, &status, WNOHANG) != pid_) {
            return std::nullopt;
        }
        pid_ = 0;
        const auto how = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status)) : "exit code " + std::to_string(WEXITSTATUS(status));
        record_.add(name_ + ": ended by itself or after SIGTERM, " + how);
        return how;
    }

    const std::string &name() const
    {
        return name_;
    }

    const std::string &ip() const
    {
        return ip_;
    }

    const std::string &zone() const
    {
        return zone_;
    }

    std::uint16_t front_ = 0;
    std::uint16_t ready_ = 0;

private:
    std::string name_;
    std::string zone_;
    std::string ip_;
    std::string settings_;
    std::string log_;
    Record &record_;
    pid_t pid_ = 0;
};

// A call of a duty that the platform got.
struct DutyCall {
    Steady::time_point at_;
    std::string machine_;
    std::string holder_;
    std::string subject_; // "usage" or "scale SERVICE ZONE"
    std::uint64_t fence_ = 0;
    int status_ = 0;
    std::string body_;
};

// Stand-in of the platform's API with fencing. Each machine has an address of its own here, by which it is known.
class Platform
{
public:
    explicit Platform(Record &record)
        : record_(record)
    {
    }

    // Opens the address for one machine.
    std::string open(const std::string &ip, const std::string &machine)
    {
        servers_.push_back(std::make_unique<Server>(ip, 0, [this, machine](Channel &channel, const Message &request) {
            sleepFor(4ms);
            return channel.send(answerBytes(take(machine, request), { { "Content-Type", "application/json" } }, "{}"));
        }));
        return ip + ":" + std::to_string(servers_.back()->port());
    }

    std::vector<DutyCall> calls()
    {
        const std::lock_guard lock(mutex_);
        return calls_;
    }

private:
    int take(const std::string &machine, const Message &request)
    {
        const auto body = Json::parse(request.body_, nullptr, false);
        DutyCall call{ .at_ = Steady::now(), .machine_ = machine, .holder_ = request.header("X-Lease-Holder"), .subject_ = "usage" };
        call.fence_ = std::strtoull(request.header("X-Fencing-Token").c_str(), nullptr, 10);
        call.body_ = body.is_discarded() ? request.body_ : body.dump();
        const bool isScale = request.word(1) == "/scale";
        if (isScale) {
            call.subject_ = "scale " + body.value("service", "") + " " + body.value("zone", "");
        }
        const std::lock_guard lock(mutex_);
        auto &highest = highest_[call.subject_];
        // No servers at the lower price are available at the moment.
        const bool isUnavailable = isScale && body.value("spot", false);
        call.status_ = call.fence_ < highest || isUnavailable ? 409 : 200;
        highest = std::max(highest, call.fence_);
        calls_.push_back(call);
        record_.add("platform: " + call.subject_ + " from machine " + machine + ", holder " + call.holder_ + ", fence " + std::to_string(call.fence_) + " -> "
                    + std::to_string(call.status_) + " " + call.body_);
        return call.status_;
    }

    Record &record_;
    std::mutex mutex_;
    std::vector<DutyCall> calls_;
    std::map<std::string, std::uint64_t> highest_;
    std::vector<std::unique_ptr<Server>> servers_;
};

// A request that a server ran.
struct Run {
    Steady::time_point at_;
    std::string server_;
    std::string attempt_;
    std::string tenant_;
    std::string path_;
};

// Stand-in of a server of an application. It writes its entry into the store each 1.2 s while it is registered.
class AppServer
{
public:
    using OnRun = std::function<bool(AppServer &, const Message &)>;

    AppServer(Store &store, Record &record, const std::string &ip, std::string id, std::string service, std::string zone, std::string stage = {})
        : store_(store)
        , record_(record)
        , id_(std::move(id))
        , service_(std::move(service))
        , zone_(std::move(zone))
        , stage_(std::move(stage))
        , born_(nowMs())
        , server_(ip, 0, [this](Channel &channel, const Message &request) { return handle(channel, request); })
    {
        std::thread([this] { beat(); }).detach();
    }

    const std::string &id() const
    {
        return id_;
    }

    Server &server()
    {
        return server_;
    }

    // Removes the entry; the server goes on serving. Returns once the store has confirmed it.
    void leaveUnannounced()
    {
        isRegistered_ = false;
        const std::lock_guard lock(beating_);
        store_.remove("servers/" + id_);
        record_.add(id_ + ": entry removed from the store, goes on serving");
    }

    void stopBeating()
    {
        isRegistered_ = false;
        const std::lock_guard lock(beating_);
    }

    // The process crashes; it is back after this time as another incarnation. Until then the queue of new channels at its port is full.
    void crash(std::chrono::milliseconds time)
    {
        record_.add(id_ + ": crashes");
        isRegistered_ = false;
        server_.crashOverrun();
        std::thread([this, time] {
            sleepFor(time);
            server_.openAfterOverrun();
            born_ = nowMs();
            isRegistered_ = true;
            record_.add(id_ + ": is back");
        }).detach();
    }

    // Called before a request is run; if it returns false, the request gets no answer.
    void setOnRun(OnRun onRun)
    {
        const std::lock_guard lock(mutex_);
        onRun_ = std::move(onRun);
    }

    std::vector<Run> runs()
    {
        const std::lock_guard lock(mutex_);
        return runs_;
    }

private:
    static std::uint64_t nowMs()
    {
        return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
    }

    void beat()
    {
        // Servers do not write at the same moment.
        sleepFor(std::chrono::milliseconds(std::hash<std::string>()(id_) % 1000));
        for (std::uint64_t sequence = 1;; ++sequence) {
            {
                const std::lock_guard lock(beating_);
                if (isRegistered_) {
                    Json entry{ { "service", service_ },       { "address", server_.ip() + ":" + std::to_string(server_.port()) },
                                { "zone", zone_ },             { "version", "v1" },
                                { "slots", 6 },                { "state", "ready" },
                                { "coldRemainingMs", 0 },      { "sequence", sequence },
                                { "born", born_.load() } };
                    if (!stage_.empty()) {
                        entry["slots"] = 12;
                        entry["stage"] = stage_;
                        entry["models"] = Json::array({ { { "name", "m" }, { "version", 1 }, { "adapters", Json::array() } } });
                    }
                    store_.put("servers/" + id_, entry.dump());
                }
            }
            sleepFor(1200ms);
        }
    }

    bool handle(Channel &channel, const Message &request)
    {
        const auto attempt = request.header("X-Attempt-Id");
        const auto expected = request.header("X-Expect-Instance");
        Headers headers{ { "X-Attempt-Id", attempt }, { "X-Instance-Id", id_ } };
        if (!expected.empty() && expected != id_) {
            headers.emplace_back("X-Not-Executed", "1");
            return channel.send(answerBytes(421, headers, ""));
        }
        if (request.word(1) == "/api/report") {
            const Json report{ { "stage", stage_ }, { "busy", false }, { "sequence", 0 }, { "waiting", 0 }, { "running", 0 }, { "born", born_.load() } };
            return channel.send(answerBytes(200, { { "Content-Type", "application/json" } }, report.dump()));
        }
        if (request.word(1) == "/health") {
            return channel.send(answerBytes(200, { { "X-Instance-Id", id_ } }, ""));
        }
        if (attempt.empty()) {
            headers.emplace_back("X-Not-Executed", "1");
            return channel.send(answerBytes(400, headers, ""));
        }
        OnRun onRun;
        {
            const std::lock_guard lock(mutex_);
            runs_.push_back({ Steady::now(), id_, attempt, request.header("X-Tenant"), request.word(1) });
            onRun = onRun_;
        }
        record_.add(id_ + ": runs " + attempt + " " + request.first_ + ", tenant " + request.header("X-Tenant"));
        if (onRun && !onRun(*this, request)) {
            return false;
        }
        sleepFor(20ms);
        headers.emplace_back("X-Response-Stamp", id_ + "." + attempt);
        return channel.send(answerBytes(200, headers, "answer to " + attempt));
    }

    Store &store_;
    Record &record_;
    std::string id_;
    std::string service_;
    std::string zone_;
    std::string stage_;
    std::atomic<std::uint64_t> born_;
    std::atomic<bool> isRegistered_ = true;
    std::mutex beating_;
    std::mutex mutex_;
    std::vector<Run> runs_;
    OnRun onRun_;
    Server server_;
};

// What a caller got.
struct Answer {
    int status_ = 0; // 0: the channel ended, or no answer came within the time
    std::string body_;
    Steady::time_point sentAt_;
    std::string attempt_;
};

inline std::string newAttempt()
{
    static std::atomic<std::uint64_t> next = 1;
    char text[24];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(next++));
    return text;
}

// Takes a range of addresses 127.N.x.y that no other running case uses, until the process ends: gateways of one address share the port of the
// metrics, which is fixed. Returns "127.N.".
inline std::string freeNet()
{
    for (int attempt = 0; attempt < 1000; ++attempt) {
        const auto net = "127." + std::to_string(20 + std::random_device()() % 200) + ".";
        std::uint16_t port = 9464;
        if (listenOn(net + "250.1", port) >= 0) {
            return net;
        }
    }
    std::cout << "no free loopback addresses" << std::endl;
    std::_Exit(2);
}

class World
{
public:
    // machines: the zone of each gateway. Everything listens on addresses 127.N.x.y with a free N.
    World(const std::string &folder, const std::vector<std::string> &machines)
        : record_(folder + "/record.txt")
        , folder_(std::filesystem::temp_directory_path() / ("review-3-" + std::to_string(getpid())))
        , net_(freeNet())
        , store_(net_ + "200.1", record_)
        , platform_(record_)
    {
        std::filesystem::create_directories(folder_);
        std::map<std::string, int> inZone;
        for (const auto &zone : machines) {
            addGateway(zone, ++inZone[zone]);
        }
    }

    ~World()
    {
        stop();
    }

    // Ends all processes of the system.
    void stop()
    {
        gateways_.clear();
        std::filesystem::remove_all(folder_);
    }

    World(const World &) = delete;
    World &operator=(const World &) = delete;

    Record &record()
    {
        return record_;
    }

    Store &store()
    {
        return store_;
    }

    Platform &platform()
    {
        return platform_;
    }

    Gateway &gateway(std::size_t index)
    {
        return *gateways_.at(index);
    }

    std::size_t gatewayCount() const
    {
        return gateways_.size();
    }

    AppServer &addServer(const std::string &service, const std::string &zone, const std::string &stage = {})
    {
        const auto number = servers_.size() + 1;
        servers_.push_back(std::make_unique<AppServer>(store_, record_, net_ + "100." + std::to_string(number), "i-" + service + "-" + std::to_string(number),
                                                       service, zone, stage));
        return *servers_.back();
    }

    AppServer &server(std::size_t index)
    {
        return *servers_.at(index);
    }

    // Copies what the gateways wrote to a folder.
    void keepLogs(const std::string &folder) const
    {
        std::filesystem::create_directories(folder);
        std::filesystem::copy(folder_, folder, std::filesystem::copy_options::overwrite_existing | std::filesystem::copy_options::recursive);
    }

    // The operator writes a configuration. Returns when the store confirmed it.
    Steady::time_point putConfig(const Json &config)
    {
        const auto revision = store_.put("op/config", config.dump());
        const auto confirmedAt = Steady::now();
        record_.add("operator: configuration " + config.at("version").dump() + " confirmed at revision " + std::to_string(revision) + ", tenants "
                    + config.at("tenants").dump());
        return confirmedAt;
    }

    void startGateways()
    {
        for (const auto &gateway : gateways_) {
            gateway->start();
        }
    }

    // Waits until all gateways say that they are ready.
    bool awaitReady(std::chrono::milliseconds limit)
    {
        const auto end = Steady::now() + limit;
        for (const auto &gateway : gateways_) {
            for (;;) {
                const auto answer = get(gateway->ip(), gateway->ready_, "/api/readiness");
                if (answer == 200) {
                    break;
                }
                if (Steady::now() > end) {
                    record_.add(gateway->name() + ": not ready");
                    return false;
                }
                sleepFor(50ms);
            }
        }
        record_.add("all gateways are ready");
        return true;
    }

    // Sends one request on a channel of its own.
    Answer send(Gateway &gateway, const std::string &method, const std::string &path, const std::string &key, const std::string &body = {},
                std::chrono::milliseconds limit = 2500ms, const Headers &more = {})
    {
        Answer answer{ .sentAt_ = Steady::now(), .attempt_ = newAttempt() };
        auto channel = connectTo(gateway.ip(), gateway.front_, 1000ms);
        if (channel) {
            std::string bytes = method + " " + path + " HTTP/1.1\r\nHost: review.example\r\nX-Attempt-Id: " + answer.attempt_
                + "\r\nX-Deadline-Ms: " + std::to_string(limit.count()) + "\r\nX-Api-Key: " + key + "\r\n";
            for (const auto &[name, value] : more) {
                bytes += name + ": " + value + "\r\n";
            }
            if (method != "GET") {
                bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
            }
            answer.sentAt_ = Steady::now();
            channel->send(bytes + "\r\n" + body);
            if (const auto got = channel->read(limit)) {
                answer.status_ = std::atoi(got->word(1).c_str());
                answer.body_ = got->body_;
            }
        }
        record_.add("caller: " + answer.attempt_ + " " + method + " " + path + " key " + key + " at " + gateway.name() + " -> "
                    + (answer.status_ == 0 ? std::string("no answer") : std::to_string(answer.status_)));
        return answer;
    }

private:
    static int get(const std::string &ip, std::uint16_t port, const std::string &path)
    {
        const auto channel = connectTo(ip, port, 500ms);
        if (!channel || !channel->send("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n")) {
            return 0;
        }
        const auto answer = channel->read(500ms);
        return answer ? std::atoi(answer->word(1).c_str()) : 0;
    }

    std::uint16_t freePort(const std::string &ip)
    {
        std::uint16_t port = 0;
        close(listenOn(ip, port));
        return port;
    }

    // Fills in the project's template of the settings as the platform does.
    void addGateway(const std::string &zone, int number)
    {
        const auto index = gateways_.size() + 1;
        const auto ip = net_ + "1." + std::to_string(index);
        const auto name = "front-" + zone + "-" + std::to_string(number);
        const auto front = freePort(ip);
        const auto ready = freePort(ip);
        const std::map<std::string, std::string> values{
            { "nodeName", name },
            { "zone", zone },
            { "ip", ip },
            { "listen.front", ip + ":" + std::to_string(front) },
            { "listen.ready", ip + ":" + std::to_string(ready) },
            { "provider.address", store_.address() },
            { "cloud.address", platform_.open(net_ + "210." + std::to_string(index), name) },
            { "internalPorts.0", std::to_string(freePort(ip)) },
            { "bounds.revokeMs", "5000" },
            { "bounds.configMs", "2000" },
            { "bounds.drainMs", "2000" },
            { "bounds.graceS", "8" },
            { "bounds.budgetSlack", "54" },
            { "bounds.reportWindowS", "5" },
            { "bounds.usageLateS", "10" },
            { "bounds.leaseMs", "3000" },
        };
        std::ifstream file("platform/settings.template");
        std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
        for (std::size_t at = 0; (at = text.find("{{", at)) != std::string::npos;) {
            const auto end = text.find("}}", at);
            auto field = text.substr(at + 2, end - at - 2);
            const auto bar = field.find("|json");
            const auto value = values.count(field.substr(0, bar)) > 0 ? values.at(field.substr(0, bar)) : std::string();
            text.replace(at, end + 2 - at, bar == std::string::npos ? value : Json(value).dump());
        }
        const auto settings = (folder_ / (name + ".json")).string();
        std::ofstream(settings) << text;
        gateways_.push_back(std::make_unique<Gateway>(name, zone, ip, settings, (folder_ / (name + ".log")).string(), record_));
        gateways_.back()->front_ = front;
        gateways_.back()->ready_ = ready;
    }

    Record record_;
    std::filesystem::path folder_;
    std::string net_;
    Store store_;
    Platform platform_;
    std::vector<std::unique_ptr<AppServer>> servers_;
    std::vector<std::unique_ptr<Gateway>> gateways_;
};

inline Json routeOf(const std::string &name, const std::string &kind, const std::string &service, int attempts)
{
    return { { "name", name },          { "hostname", "review.example" }, { "prefix", "/" + name + "/" }, { "kind", kind },
             { "timeoutMs", 1200 },     { "targetLatencyMs", 150 },       { "priority", 2 },              { "service", service },
             { "maxAttempts", attempts }, { "allowAnonymous", false },    { "sticky", false },            { "resumable", false } };
}

inline Json tenantOf(const std::string &name, const std::vector<std::string> &keys)
{
    return { { "name", name }, { "apiKeys", keys } };
}

// The configuration of a small installation: model servers that may be ordered, and an application.
inline Json configOf(int version, const Json &routes, const Json &tenants)
{
    return { { "version", version },
             { "routes", routes },
             { "services",
               Json::array({ { { "name", "editorial-models" },
                               { "healthPath", "/health" },
                               { "maxConnections", 150 },
                               { "protocol", "h1" },
                               { "tls", false },
                               { "engine",
                                 { { "slots", 12 }, { "kvCapacityTokens", 356225 }, { "kvTokenBytes", 327680 }, { "linkMbps", 1900000.0 }, { "handleTtlS", 5.0 }, { "switchS", 3.0 } } },
                               { "scaling",
                                 { { "minReplicas", 1 },
                                   { "maxReplicas", 12 },
                                   { "bootS", 4.0 },
                                   { "spotPrice", 0.22 },
                                   { "zonePrices", { { "windhoek-a", 0.85 }, { "windhoek-b", 1.2 }, { "okahandja", 1.0 } } } } } },
                             { { "name", "press-ledger" }, { "healthPath", "/health" }, { "maxConnections", 100 }, { "protocol", "h1" }, { "tls", false } } }) },
             { "limits", { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 4194304 }, { "headerTimeoutMs", 3000 }, { "idleTimeoutMs", 15000 } } },
             { "tenants", tenants } };
}

inline const std::vector<std::string> Zones{ "windhoek-a", "windhoek-b", "okahandja" };

// 18 model servers, a third of them for prefill, and 3 of the application, as at namib-verse.
inline void addSiteServers(World &world)
{
    for (int index = 0; index < 18; ++index) {
        world.addServer("editorial-models", Zones[static_cast<std::size_t>(index) % 3], index < 6 ? "prefill" : "decode");
    }
    for (const auto &zone : Zones) {
        world.addServer("press-ledger", zone);
    }
}

// True unless TROUBLE=0: the case brings its disruption about.
inline bool hasTrouble()
{
    const char *variable = std::getenv("TROUBLE");
    return variable == nullptr || std::string(variable) != "0";
}

// Ends the process without waiting for the threads of the stand-ins. 0: the rule held, 1: it was broken, 2: the case could not run.
[[noreturn]] inline void finish(World &world, int code, const std::string &result)
{
    world.record().add("result: " + result);
    std::cout << result << std::endl;
    if (const char *keep = std::getenv("KEEP_LOGS")) {
        world.keepLogs(keep);
    }
    world.stop();
    std::_Exit(code);
}

} // namespace review
