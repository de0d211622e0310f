#pragma once

#include <nlohmann/json_fwd.hpp>

struct lua_State;

namespace cowsliphead::scenarios
{

/// Converts the Lua value at a stack index. A table with a first element becomes an array, any other table an object.
nlohmann::json jsonFromLua(lua_State *lua, int stackIndex);

/// Converts the value and pushes it onto the Lua stack.
void pushJson(lua_State *lua, const nlohmann::json &value);

} // namespace cowsliphead::scenarios
