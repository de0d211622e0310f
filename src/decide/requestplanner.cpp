#include "decide/requestplanner.h"

#include <algorithm>

#include "core/errorcode.h"
#include "decide/authorization.h"
#include "decide/requestfacts.h"
#include "records/recordset.h"

namespace cowsliphead
{

namespace
{

bool mayUseModel(const AccountRecord &account, const ModelId &model)
{
    return account.models_.empty() || std::find(account.models_.begin(), account.models_.end(), model) != account.models_.end();
}

Result<RequestPlan> planCompletion(const RecordSet &records, const RequestFacts &facts, MonotonicTime now)
{
    const auto account = authorize(records, facts.key_);
    if (!account) {
        return tl::unexpected(account.error());
    }
    if (records.model(facts.model_) == nullptr) {
        return failure(ErrorCode::ModelUnknown);
    }
    if (!mayUseModel(*records.account(*account), facts.model_)) {
        return failure(ErrorCode::KeyNotAllowed);
    }
    const auto &policy = records.policy();
    RequestPlan plan;
    plan.account_ = *account;
    plan.target_.model_ = facts.model_;
    plan.traits_.isRepeatable_ = facts.idempotencyKey_.empty();
    plan.traits_.needsClaim_ = !facts.idempotencyKey_.empty();
    plan.traits_.isResumable_ = facts.isStreamed_;
    plan.traits_.maxAttempts_ = policy.maxAttempts_;
    plan.traits_.deadline_ = now + policy.requestDeadline_;
    plan.firstByteTimeout_ = policy.firstTokenTimeout_;
    plan.silenceTimeout_ = policy.betweenTokensTimeout_;
    return plan;
}

Result<RequestPlan> planService(const RecordSet &records, const RequestFacts &facts, MonotonicTime now)
{
    const auto *route = records.routeFor(facts.path_);
    if (route == nullptr) {
        return failure(ErrorCode::RouteUnknown);
    }
    RequestPlan plan;
    if (!route->isOpen_) {
        const auto account = authorize(records, facts.key_);
        if (!account) {
            return tl::unexpected(account.error());
        }
        plan.account_ = *account;
    }
    plan.target_.service_ = route->service_;
    plan.traits_.isRepeatable_ = route->isIdempotent_ || facts.isMethodIdempotent_;
    plan.traits_.needsClaim_ = !plan.traits_.isRepeatable_ && !facts.idempotencyKey_.empty();
    plan.traits_.maxAttempts_ = records.policy().maxAttempts_;
    plan.traits_.deadline_ = now + route->timeout_;
    plan.firstByteTimeout_ = route->timeout_;
    plan.silenceTimeout_ = route->timeout_;
    return plan;
}

} // namespace

Result<RequestPlan> planRequest(const RecordSet &records, const RequestFacts &facts, MonotonicTime now)
{
    if (records.revision() == 0) {
        return failure(ErrorCode::RecordsNotLoaded);
    }
    auto plan = facts.model_.isEmpty() ? planService(records, facts, now) : planCompletion(records, facts, now);
    if (plan && facts.isKeyExposed_) {
        return failure(ErrorCode::RequestMalformed);
    }
    return plan;
}

} // namespace cowsliphead
