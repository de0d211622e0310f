#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "store/leaseid.h"
#include "store/storeentry.h"
#include "store/storereply.h"
#include "store/storewrite.h"
#include "store/watchanswer.h"

namespace cowsliphead
{

class EventLoop;
class HttpClient;

/// The platform's key-value service over HTTP. Models Store.
class HttpStore
{
public:
    /// Precondition: the loop outlives the store. Thread safety: the loop's task only.
    HttpStore(EventLoop &loop, const std::string &host, std::uint16_t port, std::chrono::milliseconds timeout);
    ~HttpStore();
    HttpStore(const HttpStore &) = delete;
    HttpStore &operator=(const HttpStore &) = delete;

    /// Errors: StoreConflict, StoreValueTooLarge, StoreLeaseUnknown, StoreUnavailable (it may have taken effect).
    /// Thread safety: the loop's task only.
    void compareAndSwap(const StoreWrite &write, StoreReply<StoreRevision> reply);

    /// Nothing if the key is absent. Errors: StoreUnavailable. Thread safety: the loop's task only.
    void read(const std::string &key, StoreReply<std::optional<StoreEntry>> reply);

    /// Entries under the prefix after the key, in order. Errors: StoreUnavailable. Thread safety: the loop's task only.
    void list(const std::string &prefix, const std::string &after, std::size_t limit, StoreReply<std::vector<StoreEntry>> reply);

    /// Answers as soon as there is a change under the prefix since the revision, or after the wait without one.
    /// Errors: StoreUnavailable. Thread safety: the loop's task only.
    void watch(const std::string &prefix, StoreRevision after, std::chrono::milliseconds wait, StoreReply<WatchAnswer> reply);

    /// Errors: StoreUnavailable. Thread safety: the loop's task only.
    void grantLease(std::chrono::milliseconds duration, StoreReply<LeaseId> reply);

    /// Errors: StoreLeaseUnknown, StoreUnavailable. Thread safety: the loop's task only.
    void renewLease(const LeaseId &lease, StoreReply<LeaseId> reply);

    /// Errors: StoreLeaseUnknown, StoreUnavailable. Thread safety: the loop's task only.
    void revokeLease(const LeaseId &lease, StoreReply<LeaseId> reply);

private:
    using JsonReply = std::function<void(Result<nlohmann::json>)>;

    void post(HttpClient &client, const std::string &path, const nlohmann::json &document, JsonReply reply);
    static void answerLease(Result<nlohmann::json> answer, const StoreReply<LeaseId> &reply);

    std::unique_ptr<HttpClient> client_;

    /// Watches wait long, so they have connections with a longer time-out.
    std::unique_ptr<HttpClient> watchClient_;
};

} // namespace cowsliphead
