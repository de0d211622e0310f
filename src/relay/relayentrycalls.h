#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "core/errorcode.h"
#include "relay/relaycontext.h"
#include "relay/relayentrystore.h"

namespace cowsliphead
{

/// Performs the calls to the store by which the relay of a failure domain is chosen. Thread safety: all members, on the loop's task only.
template <RangedStore S, FleetCodec Codec, Clock C>
class RelayEntryCalls
{
public:
    using Context = RelayContext<S, Codec, C>;
    using OnEntries = std::function<void(const std::vector<RelayEntry> &)>;
    using OnSelected = std::function<void()>;

    /// onEntries receives the entries of all failure domains; onSelected is called when the selection knows the result of a call. Precondition:
    /// the context outlives the object.
    RelayEntryCalls(Context &context, std::unique_ptr<S> store, OnEntries onEntries, OnSelected onSelected)
        : context_(context)
        , onEntries_(std::move(onEntries))
        , onSelected_(std::move(onSelected))
        , entries_(std::move(store))
    {
    }

    /// Makes the call that is due. Precondition: there are peers.
    void performStep(MonotonicTime now)
    {
        const auto step = context_.selection_->nextStep(now);
        switch (step.kind_) {
        case RelayStep::Kind::None:
            break;
        case RelayStep::Kind::ReadEntries:
            read();
            break;
        case RelayStep::Kind::WriteEntry:
            write(step.expectedRevision_);
            break;
        }
    }

private:
    void read()
    {
        entries_.read([this](const Result<std::vector<RelayEntry>> &entries) {
            context_.storeEra_ = std::max(context_.storeEra_, entries_.era());
            if (entries) {
                onEntries_(*entries);
                context_.selection_->entriesRead(*entries, context_.clock_.now());
            } else {
                context_.selection_->storeUnavailable(context_.clock_.now());
            }
            onSelected_();
        });
    }

    void write(const StoreRevision &expectedRevision)
    {
        entries_.write(context_.self_, expectedRevision, [this](const Result<StoreRevision> &answer) {
            const auto now = context_.clock_.now();
            if (answer) {
                context_.selection_->entryWritten(now);
            } else if (answer.error() == ErrorCode::StoreConflict) {
                context_.selection_->entryConflict(now);
            } else {
                context_.selection_->storeUnavailable(now);
            }
            onSelected_();
        });
    }

    Context &context_;
    OnEntries onEntries_;
    OnSelected onSelected_;
    RelayEntryStore<S> entries_;
};

} // namespace cowsliphead
