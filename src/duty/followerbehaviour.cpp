#include "duty/followerbehaviour.h"

#include "records/recordset.h"

namespace cowsliphead
{

FollowerBehaviour::FollowerBehaviour(EventLoop &loop, const StoreSettings &settings, const Address<RecordSnapshot> &receiver)
    : store_(loop, settings.host_, settings.port_, settings.timeout_)
    , follower_(loop, store_, [receiver](const RecordSnapshot &snapshot) { receiver.send(snapshot); })
{
    follower_.start();
}

FollowerBehaviour::~FollowerBehaviour() = default;

void FollowerBehaviour::receive(Message /*message*/)
{
}

} // namespace cowsliphead
