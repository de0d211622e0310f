#include "gateway/keycheck.h"

#include <utility>

#include "gateway/gatewaycontext.h"

namespace cowsliphead
{

namespace
{

/// Allows for the difference in clock rate between this instance and the store.
constexpr std::chrono::milliseconds ClockRateMargin{ 150 };

} // namespace

KeyCheck::KeyCheck(const GatewayContext &context, std::string key)
    : context_(context)
    , key_(std::move(key))
{
}

std::optional<ErrorCode> KeyCheck::rejection() const
{
    if (key_.empty()) {
        return std::nullopt;
    }
    const auto bound = context_.settings_.bounds_.keyWithdrawal_ - ClockRateMargin;
    if (!context_.age_.isWithin(bound, context_.clock_.now())) {
        return ErrorCode::RecordsTooOld;
    }
    if (!context_.configuration_->accounts_.contains(key_)) {
        return ErrorCode::KeyUnknown;
    }
    return std::nullopt;
}

} // namespace cowsliphead
