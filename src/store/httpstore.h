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

/// Client of the platform's key-value service over HTTP. Models Store. Any call may also fail with StoreAnswerMalformed.
/// Thread safety: the loop's task only.
class HttpStore
{
public:
    /// Precondition: the loop outlives the store.
    HttpStore(EventLoop &loop, const std::string &host, std::uint16_t port, std::chrono::milliseconds timeout);
    ~HttpStore();
    HttpStore(const HttpStore &) = delete;
    HttpStore &operator=(const HttpStore &) = delete;

    /// Errors: StoreConflict, StoreValueTooLarge, StoreLeaseUnknown, StoreUnavailable (the write may have taken effect).
    void compareAndSwap(const StoreWrite &write, StoreReply<StoreRevision> reply);

    /// Replies with nothing if the key is absent. Errors: StoreUnavailable.
    void read(const std::string &key, StoreReply<std::optional<StoreEntry>> reply);

    /// Replies with at most limit entries whose keys have the prefix and come after the given key, sorted by key. Errors: StoreUnavailable.
    void list(const std::string &prefix, const std::string &after, std::size_t limit, StoreReply<std::vector<StoreEntry>> reply);

    /// Replies as soon as a key with the prefix has changed since the revision, or with no entries after the wait.
    /// Errors: StoreUnavailable.
    void watch(const std::string &prefix, const StoreRevision &after, std::chrono::milliseconds wait, StoreReply<WatchAnswer> reply);

    /// Errors: StoreUnavailable.
    void grantLease(std::chrono::milliseconds duration, StoreReply<LeaseId> reply);

    /// Errors: StoreLeaseUnknown, StoreUnavailable.
    void renewLease(const LeaseId &lease, StoreReply<LeaseId> reply);

    /// Errors: StoreLeaseUnknown, StoreUnavailable.
    void revokeLease(const LeaseId &lease, StoreReply<LeaseId> reply);

    /// This form of the service tells no era.
    StoreEra era() const
    {
        return 0;
    }

private:
    using JsonReply = std::function<void(Result<nlohmann::json>)>;

    void post(HttpClient &client, const std::string &path, const nlohmann::json &document, JsonReply reply);
    static void answerLease(Result<nlohmann::json> answer, const StoreReply<LeaseId> &reply);

    std::unique_ptr<HttpClient> client_;

    /// Watches are long polls, so they use connections with a longer timeout.
    std::unique_ptr<HttpClient> watchClient_;
};

} // namespace cowsliphead
