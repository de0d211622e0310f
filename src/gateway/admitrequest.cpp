#include "gateway/admitrequest.h"

#include "core/errorcode.h"
#include "fleet/configuration.h"
#include "gateway/callerfacts.h"

namespace cowsliphead
{

Result<AdmittedRequest> admitRequest(const Configuration &configuration, const CallerFacts &facts, const std::string &target, bool isRecent)
{
    const auto denied = [isRecent](ErrorCode code) { return failure(isRecent ? code : ErrorCode::RecordsTooOld); };
    AdmittedRequest admitted;
    admitted.route_ = configuration.findRoute(facts.host_, target);
    if (admitted.route_ == nullptr) {
        return denied(ErrorCode::RouteUnknown);
    }
    const auto account = configuration.accounts_.find(facts.key_);
    if (account != configuration.accounts_.end()) {
        admitted.account_ = &account->second;
    }
    if (!configuration.hasAccounts_ || admitted.route_->isAnonymous_ || admitted.account_ != nullptr) {
        return admitted;
    }
    return denied(facts.key_.empty() ? ErrorCode::KeyMissing : ErrorCode::KeyUnknown);
}

} // namespace cowsliphead
