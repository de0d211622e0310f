#include "operate/createkey.h"

#include <nlohmann/json.hpp>

#include "core/apikey.h"
#include "core/sha256.h"
#include "records/parserecord.h"

namespace cowsliphead
{

CreatedKey createKey(const AccountId &account)
{
    CreatedKey created;
    created.key_ = generateApiKey();
    const nlohmann::json record = {
        { "schema", CurrentSchema },
        { "kind", "key" },
        { "name", sha256Hex(created.key_) },
        { "account", account.value() },
    };
    created.recordText_ = record.dump();
    return created;
}

} // namespace cowsliphead
