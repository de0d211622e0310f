#include "store/httpstore.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "core/errorcode.h"
#include "http/httpclient.h"
#include "http/httprequest.h"
#include "http/httpstatus.h"
#include "store/storecodec.h"
#include "store/storepaths.h"

namespace cowsliphead
{

namespace
{

constexpr std::chrono::seconds WatchTimeout{ 40 };

std::error_code errorOf(int status, const nlohmann::json &document)
{
    if (status == httpstatus::Conflict) {
        return ErrorCode::StoreConflict;
    }
    if (status == httpstatus::PayloadTooLarge) {
        return ErrorCode::StoreValueTooLarge;
    }
    if (status == httpstatus::NotFound && document.is_object() && document.contains("lease")) {
        return ErrorCode::StoreLeaseUnknown;
    }
    return ErrorCode::StoreUnavailable;
}

Result<nlohmann::json> readAnswer(int status, const std::string &body)
{
    auto document = nlohmann::json::parse(body, nullptr, false);
    if (status != httpstatus::Ok) {
        return tl::unexpected(errorOf(status, document));
    }
    if (document.is_discarded()) {
        return failure(ErrorCode::StoreAnswerMalformed);
    }
    return document;
}

} // namespace

HttpStore::HttpStore(EventLoop &loop, const std::string &host, std::uint16_t port, std::chrono::milliseconds timeout)
    : client_(std::make_unique<HttpClient>(loop, host, port, timeout))
    , watchClient_(std::make_unique<HttpClient>(loop, host, port, WatchTimeout))
{
}

HttpStore::~HttpStore() = default;

void HttpStore::compareAndSwap(const StoreWrite &write, StoreReply<StoreRevision> reply)
{
    post(*client_, storepaths::Swap, storecodec::writeToJson(write), [reply = std::move(reply)](Result<nlohmann::json> answer) {
        if (!answer) {
            reply(tl::unexpected(answer.error()));
        } else if (!answer->is_object() || !answer->value("revision", nlohmann::json()).is_number_unsigned()) {
            reply(failure(ErrorCode::StoreAnswerMalformed));
        } else {
            reply(StoreRevision(answer->at("revision").get<std::uint64_t>()));
        }
    });
}

void HttpStore::read(const std::string &key, StoreReply<std::optional<StoreEntry>> reply)
{
    post(*client_, storepaths::Read, { { "key", key } }, [reply = std::move(reply)](Result<nlohmann::json> answer) {
        if (!answer) {
            reply(tl::unexpected(answer.error()));
        } else if (answer->is_null()) {
            reply(std::optional<StoreEntry>());
        } else {
            reply(storecodec::entryFromJson(*answer).map([](StoreEntry entry) { return std::optional(std::move(entry)); }));
        }
    });
}

void HttpStore::list(const std::string &prefix, const std::string &after, std::size_t limit, StoreReply<std::vector<StoreEntry>> reply)
{
    const nlohmann::json query = { { "prefix", prefix }, { "after", after }, { "limit", limit } };
    post(*client_, storepaths::List, query, [reply = std::move(reply)](Result<nlohmann::json> answer) { reply(answer.and_then(storecodec::entriesFromJson)); });
}

void HttpStore::watch(const std::string &prefix, const StoreRevision &after, std::chrono::milliseconds wait, StoreReply<WatchAnswer> reply)
{
    const nlohmann::json query = { { "prefix", prefix }, { "after", after.number_ }, { "waitMs", wait.count() } };
    post(*watchClient_, storepaths::Watch, query, [reply = std::move(reply)](Result<nlohmann::json> answer) {
        reply(answer.and_then(storecodec::watchFromJson));
    });
}

void HttpStore::grantLease(std::chrono::milliseconds duration, StoreReply<LeaseId> reply)
{
    post(*client_, storepaths::GrantLease, { { "durationMs", duration.count() } }, [reply = std::move(reply)](Result<nlohmann::json> answer) {
        answerLease(std::move(answer), reply);
    });
}

void HttpStore::renewLease(const LeaseId &lease, StoreReply<LeaseId> reply)
{
    post(*client_, storepaths::RenewLease, { { "lease", lease.value() } }, [reply = std::move(reply)](Result<nlohmann::json> answer) {
        answerLease(std::move(answer), reply);
    });
}

void HttpStore::revokeLease(const LeaseId &lease, StoreReply<LeaseId> reply)
{
    post(*client_, storepaths::RevokeLease, { { "lease", lease.value() } }, [reply = std::move(reply)](Result<nlohmann::json> answer) {
        answerLease(std::move(answer), reply);
    });
}

void HttpStore::post(HttpClient &client, const std::string &path, const nlohmann::json &document, JsonReply reply)
{
    HttpRequest request;
    request.method_ = HttpMethod::Post;
    request.path_ = path;
    request.headers_.emplace_back("Content-Type", "application/json");
    request.body_ = document.dump();
    const auto status = std::make_shared<int>(0);
    const auto body = std::make_shared<std::string>();
    HttpCallEvents events;
    events.onHead_ = [status](const HttpResponseHead &head) { *status = head.status_; };
    events.onData_ = [body](std::string_view data) { body->append(data); };
    events.onEnd_ = [status, body, reply = std::move(reply)](tl::expected<void, HttpCallFailure> end) {
        if (end) {
            reply(readAnswer(*status, *body));
        } else {
            reply(failure(ErrorCode::StoreUnavailable));
        }
    };
    client.call(request, std::move(events));
}

void HttpStore::answerLease(Result<nlohmann::json> answer, const StoreReply<LeaseId> &reply)
{
    if (!answer) {
        reply(tl::unexpected(answer.error()));
    } else if (!answer->is_object() || !answer->value("lease", nlohmann::json()).is_string()) {
        reply(failure(ErrorCode::StoreAnswerMalformed));
    } else {
        reply(LeaseId(answer->at("lease").get<std::string>()));
    }
}

} // namespace cowsliphead
