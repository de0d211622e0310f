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
    , step_(loop, [this] { endStep(); })
{
}

EngineScheduler::~EngineScheduler() = default;

void EngineScheduler::add(std::unique_ptr<EngineAnswer> answer)
{
    answer->start([this] { ++load_.cancelled_; });
    const auto priority = answer->question().priority_;
    const auto place = std::find_if(waiting_.begin(), waiting_.end(), [priority](const auto &other) { return other->question().priority_ < priority; });
    waiting_.insert(place, std::move(answer));
    updateLoad();
    if (!isStepping_) {
        beginStep();
    }
}

void EngineScheduler::clear()
{
    step_.cancel();
    isStepping_ = false;
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
    dropEnded(waiting_);
    dropEnded(running_);
    const auto prefill = admit();
    updateLoad();
    isStepping_ = !running_.empty();
    if (!isStepping_) {
        return;
    }
    const auto decodeTime = options_.decodeStepTime_ + options_.decodeTimePerAnswer_ * running_.size();
    step_.startOnce(decodeTime + options_.prefillTimePerToken_ * prefill);
}

void EngineScheduler::endStep()
{
    if (isPoisoned()) {
        onCrash_();
        return;
    }
    for (const auto &answer : running_) {
        if (answer->isEnded()) {
            continue;
        }
        answer->advance();
        load_.completed_ += answer->isEnded() ? 1 : 0;
        if (countToken()) {
            onCrash_();
            return;
        }
    }
    beginStep();
}

void EngineScheduler::dropEnded(Answers &answers)
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
    // An answer too large for the whole cache runs alone rather than never.
    while (!waiting_.empty() && (running_.empty() || usedPieces_ + waiting_.front()->kvPieces() <= options_.kvPieces_)) {
        usedPieces_ += waiting_.front()->kvPieces();
        prefill += prefillTokens(*waiting_.front());
        running_.splice(running_.end(), waiting_, waiting_.begin());
    }
    return prefill;
}

std::uint32_t EngineScheduler::prefillTokens(const EngineAnswer &answer)
{
    const auto &question = answer.question();
    const auto cached = prefixes_.use(question.body_, enginepieces::PieceCharacters) * enginepieces::PieceTokens;
    // A resumed answer's earlier tokens have to be prefilled too.
    return question.promptTokens_ + question.resumeFrom_ - std::min(cached, question.promptTokens_);
}

bool EngineScheduler::isPoisoned() const
{
    return !faults_.poison_.empty() && std::any_of(running_.begin(), running_.end(), [this](const auto &answer) {
        return answer->question().body_.find(faults_.poison_) != std::string::npos;
    });
}

bool EngineScheduler::countToken()
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
