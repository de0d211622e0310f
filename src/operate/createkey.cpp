#include "operate/createkey.h"

#include <nlohmann/json.hpp>

#include "core/randomtext.h"
#include "core/sha256.h"
#include "records/parserecord.h"

namespace cowsliphead
{

namespace
{

constexpr int KeyBytes = 24;

}

CreatedKey createKey(const AccountId &account)
{
    CreatedKey created;
    created.key_ = "cow-" + randomHex(KeyBytes);
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
