#include "gateway/quarantinelog.h"

#include <utility>

#include "decide/suspecttext.h"
#include "logs/log.h"

namespace cowsliphead
{

void QuarantineLog::update(const std::vector<SuspectKey> &suspects)
{
    const auto before = std::exchange(logged_, { suspects.begin(), suspects.end() });
    for (const auto suspect : logged_) {
        if (!before.contains(suspect)) {
            logEvent(LogEvent::RequestQuarantined, { { "suspect", suspectText(suspect) } });
        }
    }
    for (const auto suspect : before) {
        if (!logged_.contains(suspect)) {
            logEvent(LogEvent::RequestReleased, { { "suspect", suspectText(suspect) } });
        }
    }
}

} // namespace cowsliphead
