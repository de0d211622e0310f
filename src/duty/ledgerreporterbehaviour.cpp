#include "duty/ledgerreporterbehaviour.h"

namespace cowsliphead
{

namespace
{

constexpr std::chrono::milliseconds TickInterval{ 500 };

} // namespace

LedgerReporterBehaviour::LedgerReporterBehaviour(
    EventLoop &loop, const StoreSettings &store, const PlatformSettings &platform, const UsageSettings &settings, const std::string &incarnation)
    : store_(loop, store.host_, store.port_, store.timeout_)
    , platform_(loop, platform)
    , timer_(loop, [this] { tick(); })
{
    for (std::uint32_t shard = 0; shard < settings.shardCount_; ++shard) {
        ReporterSettings reporter;
        reporter.shard_ = shard;
        reporter.windowLength_ = settings.windowLength_;
        reporter.sealDelay_ = settings.sealDelay_;
        reporters_.push_back(std::make_unique<ShardReporter>(store_, clock_, platform_, reporter, LeasePolicy(), incarnation));
    }
    timer_.startRepeating(TickInterval);
}

LedgerReporterBehaviour::~LedgerReporterBehaviour() = default;

void LedgerReporterBehaviour::receive(Message /*message*/)
{
}

void LedgerReporterBehaviour::tick()
{
    for (const auto &reporter : reporters_) {
        reporter->tick();
    }
}

} // namespace cowsliphead
