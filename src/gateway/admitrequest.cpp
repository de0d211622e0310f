#include "gateway/admitrequest.h"

#include "core/errorcode.h"
#include "fleet/configuration.h"
#include "gateway/requestmetadata.h"

namespace cowsliphead
{

Result<AdmittedRequest> admitRequest(const Configuration &configuration, const RequestMetadata &metadata, const std::string &target, bool isRecent)
{
    const auto denied = [isRecent](ErrorCode code) { return failure(isRecent ? code : ErrorCode::RecordsTooOld); };
    AdmittedRequest admitted;
    admitted.route_ = configuration.findRoute(metadata.host_, target);
    if (admitted.route_ == nullptr) {
        return denied(ErrorCode::RouteUnknown);
    }
    const auto account = configuration.accounts_.find(metadata.key_);
    if (account != configuration.accounts_.end()) {
        admitted.account_ = &account->second;
    }
    if (!configuration.hasAccounts_ || admitted.route_->isAnonymous_ || admitted.account_ != nullptr) {
        return admitted;
    }
    return denied(metadata.key_.empty() ? ErrorCode::KeyMissing : ErrorCode::KeyUnknown);
}

} // namespace cowsliphead
