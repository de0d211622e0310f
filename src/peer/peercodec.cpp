#include "peer/peercodec.h"

#include <cstdint>
#include <vector>

#include "peer/messagepack.h"

namespace cowsliphead::peercodec
{

namespace
{

struct WireMember {
    std::string instance_;
    std::string failureDomain_;
    std::string host_;
    std::uint16_t port_ = 0;
    std::uint64_t incarnation_ = 0;
    std::uint64_t heartbeat_ = 0;
    bool isRelay_ = false;
    std::uint64_t revision_ = 0;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("i", instance_),
                       MSGPACK_NVP("d", failureDomain_),
                       MSGPACK_NVP("h", host_),
                       MSGPACK_NVP("p", port_),
                       MSGPACK_NVP("n", incarnation_),
                       MSGPACK_NVP("b", heartbeat_),
                       MSGPACK_NVP("l", isRelay_),
                       MSGPACK_NVP("r", revision_))
};

struct WireChange {
    std::uint64_t revision_ = 0;
    std::string changeId_;
    bool isWithdrawal_ = false;
    std::string kind_;
    std::string name_;
    std::string text_;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("r", revision_),
                       MSGPACK_NVP("c", changeId_),
                       MSGPACK_NVP("w", isWithdrawal_),
                       MSGPACK_NVP("k", kind_),
                       MSGPACK_NVP("n", name_),
                       MSGPACK_NVP("t", text_))
};

struct WireQuery {
    std::uint64_t number_ = 0;
    std::uint64_t after_ = 0;
    std::uint64_t snapshot_ = 0;
    std::string kind_;
    std::string name_;
    std::vector<WireMember> members_;
    bool wantsAllMembers_ = false;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("q", number_),
                       MSGPACK_NVP("a", after_),
                       MSGPACK_NVP("s", snapshot_),
                       MSGPACK_NVP("k", kind_),
                       MSGPACK_NVP("n", name_),
                       MSGPACK_NVP("m", members_),
                       MSGPACK_NVP("w", wantsAllMembers_))
};

struct WireAnswer {
    std::uint64_t number_ = 0;
    std::uint64_t head_ = 0;
    /// In milliseconds; -1 if the head was never confirmed to be the newest.
    std::int64_t age_ = -1;
    std::vector<WireChange> changes_;
    std::uint64_t snapshot_ = 0;
    std::vector<std::string> records_;
    bool isLastPart_ = false;
    std::vector<WireMember> members_;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("q", number_),
                       MSGPACK_NVP("h", head_),
                       MSGPACK_NVP("g", age_),
                       MSGPACK_NVP("c", changes_),
                       MSGPACK_NVP("s", snapshot_),
                       MSGPACK_NVP("r", records_),
                       MSGPACK_NVP("l", isLastPart_),
                       MSGPACK_NVP("m", members_))
};

WireMember toWire(const Member &member)
{
    return { member.instance_.value(), member.failureDomain_.value(),
             member.address_.host_,    member.address_.port_,
             member.incarnation_,      member.heartbeat_,
             member.isRelay_,          member.revision_ };
}

Member fromWire(const WireMember &wire)
{
    Member member;
    member.instance_ = InstanceId(wire.instance_);
    member.failureDomain_ = FailureDomain(wire.failureDomain_);
    member.address_ = PeerAddress{ wire.host_, wire.port_ };
    member.incarnation_ = wire.incarnation_;
    member.heartbeat_ = wire.heartbeat_;
    member.isRelay_ = wire.isRelay_;
    member.revision_ = wire.revision_;
    return member;
}

WireChange toWire(const Change &change)
{
    return { change.revision_, change.changeId_.value(), change.action_ == ChangeAction::Withdraw, change.key_.kind_, change.key_.name_, change.text_ };
}

Change fromWire(const WireChange &wire)
{
    Change change;
    change.revision_ = wire.revision_;
    change.changeId_ = ChangeId(wire.changeId_);
    change.action_ = wire.isWithdrawal_ ? ChangeAction::Withdraw : ChangeAction::Put;
    change.key_ = RecordKey{ wire.kind_, wire.name_ };
    change.text_ = wire.text_;
    return change;
}

template <typename Wire, typename Plain>
std::vector<Wire> allToWire(const std::vector<Plain> &plain)
{
    std::vector<Wire> wire;
    wire.reserve(plain.size());
    for (const auto &item : plain) {
        wire.push_back(toWire(item));
    }
    return wire;
}

template <typename Plain, typename Wire>
std::vector<Plain> allFromWire(const std::vector<Wire> &wire)
{
    std::vector<Plain> plain;
    plain.reserve(wire.size());
    for (const auto &item : wire) {
        plain.push_back(fromWire(item));
    }
    return plain;
}

} // namespace

std::string encode(const RecordQuery &query)
{
    WireQuery wire;
    wire.number_ = query.number_;
    wire.after_ = query.after_;
    wire.snapshot_ = query.snapshot_;
    wire.kind_ = query.lastSnapshotKey_.kind_;
    wire.name_ = query.lastSnapshotKey_.name_;
    wire.members_ = allToWire<WireMember>(query.members_);
    wire.wantsAllMembers_ = query.wantsAllMembers_;
    return messagepack::pack(wire);
}

std::string encode(const RecordAnswer &answer)
{
    WireAnswer wire;
    wire.number_ = answer.number_;
    wire.head_ = answer.head_;
    wire.age_ = answer.age_ ? answer.age_->count() : -1;
    wire.changes_ = allToWire<WireChange>(answer.changes_);
    wire.snapshot_ = answer.snapshot_;
    wire.records_ = answer.records_;
    wire.isLastPart_ = answer.isLastPart_;
    wire.members_ = allToWire<WireMember>(answer.members_);
    return messagepack::pack(wire);
}

Result<RecordQuery> decodeQuery(std::string_view bytes)
{
    const auto wire = messagepack::unpack<WireQuery>(bytes);
    if (!wire) {
        return tl::unexpected(wire.error());
    }
    RecordQuery query;
    query.number_ = wire->number_;
    query.after_ = wire->after_;
    query.snapshot_ = wire->snapshot_;
    query.lastSnapshotKey_ = RecordKey{ wire->kind_, wire->name_ };
    query.members_ = allFromWire<Member>(wire->members_);
    query.wantsAllMembers_ = wire->wantsAllMembers_;
    return query;
}

Result<RecordAnswer> decodeAnswer(std::string_view bytes)
{
    auto wire = messagepack::unpack<WireAnswer>(bytes);
    if (!wire) {
        return tl::unexpected(wire.error());
    }
    RecordAnswer answer;
    answer.number_ = wire->number_;
    answer.head_ = wire->head_;
    if (wire->age_ >= 0) {
        answer.age_ = std::chrono::milliseconds(wire->age_);
    }
    answer.changes_ = allFromWire<Change>(wire->changes_);
    answer.snapshot_ = wire->snapshot_;
    answer.records_ = std::move(wire->records_);
    answer.isLastPart_ = wire->isLastPart_;
    answer.members_ = allFromWire<Member>(wire->members_);
    return answer;
}

} // namespace cowsliphead::peercodec
