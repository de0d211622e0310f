#pragma once

#include "core/accountid.h"
#include "operate/createdkey.h"

namespace cowsliphead
{

/// Generates an API key for the account. Thread safety: any thread.
CreatedKey createKey(const AccountId &account);

} // namespace cowsliphead
