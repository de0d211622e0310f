// Gateways end by themselves after servers have lost answers for a while.

#include "world.h"

using namespace review;

namespace
{

// Together about 500 requests a second, 1.4 times those of namib-verse: long and short streams, orders that must not be repeated, and reads.
constexpr int Callers = 112;
constexpr auto Pause = 110ms;

// Each episode is within what the site file names for answer_lost with how = reset: share 0.6, x 0.4, 4 s.
constexpr int Episodes = 20;
constexpr auto EpisodeTime = 4000ms;
constexpr double LostShare = 0.4;

Json routes()
{
    auto gloss = routeOf("gloss", "streaming", "editorial-models", 1);
    gloss["timeoutMs"] = 3000;
    gloss["targetLatencyMs"] = 250;
    gloss["gapAimMs"] = 150;
    gloss["sticky"] = true;
    auto review = routeOf("review", "streaming", "editorial-models", 2);
    review["timeoutMs"] = 5000;
    review["targetLatencyMs"] = 600;
    review["gapAimMs"] = 150;
    review["sticky"] = true;
    review["resumable"] = true;
    return Json::array({ review, gloss, routeOf("post", "non_idempotent", "press-ledger", 1), routeOf("read", "idempotent", "press-ledger", 2) });
}

struct Sent {
    Answer answer_;
    bool isKept_ = false;
    std::string gateway_;
};

} // namespace

int main(int /*argc*/, char **argv)
{
    World world(argv[1], { Zones[0], Zones[0], Zones[1], Zones[2] });
    addSiteServers(world);
    world.putConfig(configOf(7, routes(), Json::array({ tenantOf("tenant-a", { "key-a" }) })));
    sleepFor(1500ms);
    world.startGateways();
    if (!world.awaitReady(10s)) {
        finish(world, 2, "the gateways did not get ready");
    }
    sleepFor(2s);
    std::atomic<bool> isOver = false;
    std::mutex mutex;
    std::vector<Sent> sent;
    std::vector<std::thread> callers;
    for (int number = 0; number < Callers; ++number) {
        callers.emplace_back([&, number] {
            auto &gateway = world.gateway(static_cast<std::size_t>(number) % world.gatewayCount());
            KeptCaller caller(gateway, world.record());
            std::minstd_rand random(static_cast<unsigned>(number) + 1);
            const auto draw = [&random](unsigned count) { return std::to_string(random() % count); };
            while (!isOver) {
                Sent one;
                const auto kind = random() % 100;
                if (kind < 8) {
                    one.answer_ = caller.send("POST", "/review/" + draw(80), "key-a", "manuscript " + draw(1000000000),
                                              { { "X-Model", "m" },
                                                { "X-Token-Count", "17020,12" },
                                                { "X-Prompt-Prefix", "b" + draw(80) + ":13300,e" + draw(1000000000) + ":3720" } },
                                              one.isKept_, 5000ms);
                } else if (kind < 74) {
                    // A short question on a poem: one of many, or a common one that is asked on any poem, with or without a collection.
                    const auto line = random() % 4 == 0 ? "What does this line mean? " + draw(3) : "line " + draw(1000000000);
                    const auto collection = random() % 2 == 0 ? "c" + draw(20) + ":55," : std::string();
                    one.answer_ = caller.send("POST", "/gloss/2f", "key-a", line,
                                              { { "X-Model", "m" },
                                                { "X-Token-Count", "300,5" },
                                                { "X-Prompt-Prefix", collection + "d" + draw(703) + ":37,e" + draw(1000000000) + ":200" } },
                                              one.isKept_);
                } else if (kind < 92) {
                    one.answer_ = caller.send("POST", "/post/2f", "key-a", "payment " + draw(1000000000), {}, one.isKept_);
                } else {
                    one.answer_ = caller.send("GET", "/read/" + draw(1000000000), "key-a", "", {}, one.isKept_);
                }
                one.gateway_ = gateway.name();
                {
                    const std::lock_guard lock(mutex);
                    sent.push_back(one);
                }
                sleepFor(Pause);
            }
        });
    }
    sleepFor(3s);
    std::vector<std::string> ends;
    std::set<std::string> losing;
    int episodesAfterEnd = 0;
    for (int episode = 0; episode < Episodes && episodesAfterEnd < 3; ++episode) {
        episodesAfterEnd += ends.empty() ? 0 : 1;
        for (std::size_t index = 0; index < 21; ++index) {
            // Three of five servers, the same ones each time, so that the others are sound.
            const bool isHit = hasTrouble() && index % 5 < 3;
            world.server(index).loseAnswers(isHit ? LostShare : 0);
            if (isHit) {
                losing.insert(world.server(index).id());
            }
        }
        const auto end = Steady::now() + EpisodeTime;
        while (Steady::now() < end) {
            sleepFor(20ms);
            for (std::size_t index = 0; index < world.gatewayCount(); ++index) {
                if (const auto how = world.gateway(index).end()) {
                    ends.push_back(world.gateway(index).name() + ", " + *how);
                    // The platform starts it again after a short delay.
                    sleepFor(300ms);
                    world.gateway(index).start();
                }
            }
        }
    }
    isOver = true;
    for (auto &caller : callers) {
        caller.join();
    }
    // Requests on kept channels that a sound server ran, and whose channel ended without an answer as a gateway ended.
    std::map<std::string, std::string> ranAt;
    for (std::size_t index = 0; index < 21; ++index) {
        for (const auto &run : world.server(index).runs()) {
            ranAt[run.attempt_] = run.server_;
        }
    }
    int lost = 0;
    std::map<std::string, int> lostAt;
    for (const auto &one : sent) {
        const auto ran = ranAt.find(one.answer_.attempt_);
        const bool isLost = one.isKept_ && one.answer_.status_ == 0 && ran != ranAt.end() && !losing.contains(ran->second);
        if (isLost) {
            world.record().add("lost: " + one.answer_.attempt_ + " at " + ran->second);
            ++lost;
            ++lostAt[one.gateway_];
        }
    }
    std::string text = std::to_string(sent.size()) + " requests; " + std::to_string(ends.size()) + " times one of " + std::to_string(world.gatewayCount())
        + " gateways ended by itself; " + std::to_string(lost) + " requests of kept channels, passed on to servers that lose no answers, got none";
    for (const auto &end : ends) {
        text += "; " + end;
    }
    for (const auto &[gateway, count] : lostAt) {
        text += "; " + std::to_string(count) + " at " + gateway;
    }
    finish(world, lost > 3 ? 1 : 0, text);
}
