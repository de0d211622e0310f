// One part of a prompt crashes each server that begins to write an answer on it. Requests with that part come eight at a time, spread over
// the machines, every four seconds, beside sound traffic. The rule counts those that reach servers later than contactMs after the fifth crash.
#include "../common-2/models.h"

using namespace review;

namespace
{

constexpr auto RestartTime = 3000ms;
constexpr std::size_t BatchSize = 8;
constexpr std::size_t Batches = 5;
constexpr auto BatchInterval = 4000ms;
constexpr double SoundPerSecond = 60;

} // namespace

int main(int, char **arguments)
{
    Record record(std::string(arguments[1]) + "/record.txt");
    ModelDeployment models(record, RestartTime, Server::Restart::New);
    if (!models.waitUntilReady()) {
        std::fprintf(stderr, "the gateways do not become ready\n");
        return 2;
    }
    std::atomic<bool> isOver{ false };
    Threads sound;
    models.startSoundRequests(sound, SoundPerSecond, isOver);
    std::this_thread::sleep_for(3s);
    for (std::size_t batch = 0; batch < Batches; ++batch) {
        record.write("batch %zu of %zu requests with the part", batch + 1, BatchSize);
        const auto next = Clock::now() + BatchInterval;
        Threads calls;
        for (std::size_t call = 0; call < BatchSize; ++call) {
            calls.start([&, number = call + batch] { models.sendCrashing(number); });
        }
        calls.join();
        std::this_thread::sleep_until(next);
    }
    isOver = true;
    sound.join();
    return models.finish();
}
