#pragma once

#include <nlohmann/json_fwd.hpp>

struct lua_State;

namespace cowsliphead::scenarios
{

/// The Lua value at the place on the stack; a table with a first element is a list.
nlohmann::json jsonFromLua(lua_State *lua, int place);

/// Pushes the value onto the stack.
void pushJson(lua_State *lua, const nlohmann::json &value);

} // namespace cowsliphead::scenarios
