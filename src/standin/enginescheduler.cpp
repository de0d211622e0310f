#include "standin/enginescheduler.h"

#include <algorithm>

#include "standin/engineanswer.h"
#include "standin/enginepieces.h"
#include "task/eventloop.h"

namespace cowsliphead
{

EngineScheduler::EngineScheduler(EventLoop &loop, const EngineOptions &options, EngineFaults &faults, std::function<void()> onCrash)
    : options_(options)
    , faults_(faults)
    , onCrash_(std::move(onCrash))
    , prefixes_(options.prefixCachePieces_)
    , stepTimer_(loop, [this] { endStep(); })
{
}

EngineScheduler::~EngineScheduler() = default;

void EngineScheduler::add(std::unique_ptr<EngineAnswer> answer)
{
    answer->start([this] { ++load_.cancelled_; });
    const auto priority = answer->request().priority_;
    const auto place = std::find_if(waiting_.begin(), waiting_.end(), [priority](const auto &other) { return other->request().priority_ < priority; });
    waiting_.insert(place, std::move(answer));
    updateLoad();
    if (!isStepUnderWay_) {
        beginStep();
    }
}

void EngineScheduler::clear()
{
    stepTimer_.cancel();
    isStepUnderWay_ = false;
    waiting_.clear();
    running_.clear();
    usedPieces_ = 0;
    prefixes_ = EnginePrefixCache(options_.prefixCachePieces_);
    updateLoad();
}

const EngineLoad &EngineScheduler::load() const
{
    return load_;
}

void EngineScheduler::beginStep()
{
    removeEnded(waiting_);
    removeEnded(running_);
    const auto prefill = admit();
    updateLoad();
    isStepUnderWay_ = !running_.empty();
    if (!isStepUnderWay_) {
        return;
    }
    const auto decodeTime = options_.decodeStepTime_ + options_.stepTimePerAnswer_ * running_.size();
    stepTimer_.startOnce(decodeTime + options_.prefillTimePerToken_ * prefill);
}

void EngineScheduler::endStep()
{
    if (hasPoisonRequest()) {
        onCrash_();
        return;
    }
    for (const auto &answer : running_) {
        if (answer->isEnded()) {
            continue;
        }
        answer->advance();
        load_.completed_ += answer->isEnded() ? 1 : 0;
        if (countTokenUntilCrash()) {
            onCrash_();
            return;
        }
    }
    beginStep();
}

void EngineScheduler::removeEnded(Answers &answers)
{
    for (auto place = answers.begin(); place != answers.end();) {
        if (!(*place)->isEnded()) {
            ++place;
            continue;
        }
        usedPieces_ -= &answers == &running_ ? (*place)->kvPieces() : 0;
        place = answers.erase(place);
    }
}

std::uint32_t EngineScheduler::admit()
{
    std::uint32_t prefill = 0;
    // An answer larger than the whole cache runs alone; otherwise it would never be admitted.
    while (!waiting_.empty() && (running_.empty() || usedPieces_ + waiting_.front()->kvPieces() <= options_.kvPieces_)) {
        usedPieces_ += waiting_.front()->kvPieces();
        prefill += prefillTokens(*waiting_.front());
        running_.splice(running_.end(), waiting_, waiting_.begin());
    }
    return prefill;
}

std::uint32_t EngineScheduler::prefillTokens(const EngineAnswer &answer)
{
    const auto &request = answer.request();
    const auto cached = prefixes_.lookUpAndInsert(request.body_, enginepieces::PieceCharacters) * enginepieces::PieceTokens;
    // The tokens that a resumed answer has produced earlier are prefilled too.
    return request.promptTokens_ + request.resumeFrom_ - std::min(cached, request.promptTokens_);
}

bool EngineScheduler::hasPoisonRequest() const
{
    return !faults_.poisonText_.empty() && std::any_of(running_.begin(), running_.end(), [this](const auto &answer) {
        return answer->request().body_.find(faults_.poisonText_) != std::string::npos;
    });
}

bool EngineScheduler::countTokenUntilCrash()
{
    if (!faults_.crashAfterTokens_) {
        return false;
    }
    if (*faults_.crashAfterTokens_ > 1) {
        --*faults_.crashAfterTokens_;
        return false;
    }
    faults_.crashAfterTokens_.reset();
    return true;
}

void EngineScheduler::updateLoad()
{
    load_.running_ = static_cast<std::uint32_t>(running_.size());
    load_.waiting_ = static_cast<std::uint32_t>(waiting_.size());
    load_.usedPieces_ = usedPieces_;
}

} // namespace cowsliphead
