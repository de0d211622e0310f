#pragma once

#include <memory>
#include <string>

#include "core/systemclock.h"
#include "fleet/fakestore.h"
#include "store/memorystore.h"
#include "task/eventloop.h"

/// A client of a store that several relay tasks on one loop share. It answers reads and writes, and no watch. Models RangedStore.
class SharedStore : public FakeStore
{
public:
    /// Precondition: the loop outlives the client.
    SharedStore(cowsliphead::EventLoop &loop, std::shared_ptr<cowsliphead::MemoryStore> content)
        : loop_(loop)
        , content_(std::move(content))
    {
    }

    void range(const std::string &prefix, const std::string & /*after*/, Range reply)
    {
        constexpr std::size_t Limit = 100;
        const auto now = cowsliphead::SystemClock().now();
        const cowsliphead::StoreRange page{ content_->list(prefix, {}, Limit, now), false, content_->revision() };
        answer(std::move(reply), page);
    }

    void compareAndSwap(const cowsliphead::StoreWrite &write, cowsliphead::StoreReply<cowsliphead::StoreRevision> reply)
    {
        answer(std::move(reply), content_->compareAndSwap(write, cowsliphead::SystemClock().now()));
    }

    cowsliphead::StoreEra era() const
    {
        return content_->revision().era_;
    }

private:
    template <typename Reply, typename Result>
    void answer(Reply reply, const Result &result)
    {
        // No answer follows once the client is destroyed.
        loop_.defer([reply = std::move(reply), result, isAlive = std::weak_ptr(isAlive_)] {
            if (!isAlive.expired()) {
                reply(result);
            }
        });
    }

    cowsliphead::EventLoop &loop_;
    std::shared_ptr<cowsliphead::MemoryStore> content_;
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
};
