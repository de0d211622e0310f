// One part of a prompt crashes each server that begins to write an answer on it. The servers start again after three seconds under
// the ids that they had, and register at once. Requests with the part come beside sound traffic. The rule counts those that reach servers
// later than contactMs after the fifth crash.
#include "../common-2/models.h"

using namespace review;

namespace
{

constexpr auto RestartTime = 3000ms;
constexpr double CrashingPerSecond = 3;
constexpr double SoundPerSecond = 420;
constexpr auto RunTime = 98s;

} // namespace

int main(int, char **arguments)
{
    Record record(std::string(arguments[1]) + "/record.txt");
    ModelDeployment models(record, RestartTime, Server::Restart::Same);
    if (!models.waitUntilReady()) {
        std::fprintf(stderr, "the gateways do not become ready\n");
        return 2;
    }
    std::atomic<bool> isOver{ false };
    Threads sound;
    models.startSoundRequests(sound, SoundPerSecond, isOver);
    std::this_thread::sleep_for(3s);
    {
        Threads calls;
        Pacer pacer(CrashingPerSecond);
        const auto until = Clock::now() + RunTime;
        for (std::size_t number = 0; Clock::now() < until; ++number) {
            pacer.wait();
            calls.start([&models, number] { models.sendCrashing(number); });
        }
    }
    isOver = true;
    sound.join();
    return models.finish();
}
