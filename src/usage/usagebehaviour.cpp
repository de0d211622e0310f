#include "usage/usagebehaviour.h"

#include <algorithm>

#include "logs/log.h"
#include "task/eventloop.h"
#include "usage/usagekeys.h"

namespace cowsliphead
{

namespace
{

constexpr std::chrono::seconds LongestDrain{ 10 };
constexpr std::chrono::milliseconds DrainFlushInterval{ 50 };

} // namespace

UsageBehaviour::UsageBehaviour(EventLoop &loop, const StoreSettings &store, const UsageSettings &settings, const std::string &incarnation)
    : loop_(loop)
    , store_(loop, store.host_, store.port_, store.timeout_)
    , settings_(settings)
    , sequences_(settings.shardCount_, 0)
    , flushTimer_(loop, [this] { flush(); })
    , drainTimer_(loop, [this] {
        logEvent(LogEvent::UsageLeftBehind);
        loop_.stop();
    })
{
    for (std::uint32_t shard = 0; shard < settings.shardCount_; ++shard) {
        UsageWriterSettings writer;
        writer.shard_ = shard;
        writer.incarnation_ = incarnation;
        writer.windowLength_ = settings.windowLength_;
        writers_.push_back(std::make_unique<Writer>(store_, clock_, writer));
    }
    flushTimer_.startRepeating(settings.flushInterval_);
}

UsageBehaviour::~UsageBehaviour() = default;

void UsageBehaviour::receive(Message message)
{
    std::visit([this](auto typedMessage) { handle(std::move(typedMessage)); }, std::move(message));
}

void UsageBehaviour::handle(UsageEntry entry)
{
    const auto shard = usagekeys::shardOf(entry.subject_.account_, settings_.shardCount_);
    entry.sequence_ = ++sequences_[shard];
    writers_[shard]->handle(entry);
}

void UsageBehaviour::handle(DrainRequest /*request*/)
{
    isDraining_ = true;
    drainTimer_.startOnce(LongestDrain);
    flushTimer_.startRepeating(DrainFlushInterval);
    flush();
}

void UsageBehaviour::flush()
{
    if (isDraining_ && isFullyWritten()) {
        loop_.stop();
        return;
    }
    for (const auto &writer : writers_) {
        writer->flush();
    }
}

bool UsageBehaviour::isFullyWritten() const
{
    return std::all_of(writers_.begin(), writers_.end(), [](const auto &writer) { return writer->isFullyWritten(); });
}

} // namespace cowsliphead
