#pragma once

#include "core/accountid.h"
#include "operate/createdkey.h"

namespace cowsliphead
{

/// Makes up a key for the account. Thread safety: any thread.
CreatedKey createKey(const AccountId &account);

} // namespace cowsliphead
