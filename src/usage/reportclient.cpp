#include "usage/reportclient.h"

#include <nlohmann/json.hpp>

#include "core/errorcode.h"
#include "http/httpclient.h"
#include "http/httprequest.h"
#include "http/httpstatus.h"
#include "usage/platformpaths.h"
#include "usage/reportcodec.h"

namespace cowsliphead
{

ReportClient::ReportClient(EventLoop &loop, const PlatformSettings &settings)
    : client_(std::make_unique<HttpClient>(loop, settings.host_, settings.port_, settings.timeout_))
{
}

ReportClient::~ReportClient() = default;

void ReportClient::submit(const UsageReport &report, const Reply &reply)
{
    HttpRequest request;
    request.method_ = HttpMethod::Post;
    request.path_ = platformpaths::Usage;
    request.headers_.emplace_back("Content-Type", "application/json");
    request.body_ = reportcodec::reportToJson(report).dump();
    const auto status = std::make_shared<int>(0);
    HttpCallEvents events;
    events.onHead_ = [status](const HttpResponseHead &head) { *status = head.status_; };
    events.onEnd_ = [status, reply](const tl::expected<void, HttpCallFailure> &end) {
        if (!end) {
            reply(failure(ErrorCode::PlatformUnavailable));
        } else if (*status != httpstatus::Ok) {
            reply(failure(ErrorCode::PlatformRefused));
        } else {
            reply({});
        }
    };
    client_->call(request, std::move(events));
}

} // namespace cowsliphead
