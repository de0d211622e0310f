#include "scenarios/luajson.h"

#include <lua.hpp>
#include <nlohmann/json.hpp>

namespace cowsliphead::scenarios
{

namespace
{

nlohmann::json tableFromLua(lua_State *lua, int stackIndex)
{
    const auto length = lua_rawlen(lua, stackIndex);
    if (length > 0) {
        auto list = nlohmann::json::array();
        for (lua_Integer index = 1; index <= static_cast<lua_Integer>(length); ++index) {
            lua_rawgeti(lua, stackIndex, index);
            list.push_back(jsonFromLua(lua, lua_gettop(lua)));
            lua_pop(lua, 1);
        }
        return list;
    }
    auto object = nlohmann::json::object();
    lua_pushnil(lua);
    while (lua_next(lua, stackIndex) != 0) {
        lua_pushvalue(lua, -2);
        object[lua_tostring(lua, -1)] = jsonFromLua(lua, lua_gettop(lua) - 1);
        lua_pop(lua, 2);
    }
    return object;
}

} // namespace

nlohmann::json jsonFromLua(lua_State *lua, int stackIndex)
{
    switch (lua_type(lua, stackIndex)) {
    case LUA_TBOOLEAN:
        return lua_toboolean(lua, stackIndex) != 0;
    case LUA_TNUMBER:
        if (lua_isinteger(lua, stackIndex) != 0) {
            const auto number = lua_tointeger(lua, stackIndex);
            return number >= 0 ? nlohmann::json(static_cast<std::uint64_t>(number)) : nlohmann::json(number);
        }
        return lua_tonumber(lua, stackIndex);
    case LUA_TSTRING:
        return std::string(lua_tostring(lua, stackIndex));
    case LUA_TTABLE:
        return tableFromLua(lua, lua_absindex(lua, stackIndex));
    default:
        return nullptr;
    }
}

void pushJson(lua_State *lua, const nlohmann::json &value)
{
    if (value.is_boolean()) {
        lua_pushboolean(lua, value.get<bool>() ? 1 : 0);
    } else if (value.is_number_integer()) {
        lua_pushinteger(lua, value.get<lua_Integer>());
    } else if (value.is_number()) {
        lua_pushnumber(lua, value.get<double>());
    } else if (value.is_string()) {
        const auto &text = value.get_ref<const std::string &>();
        lua_pushlstring(lua, text.data(), text.size());
    } else if (value.is_array()) {
        lua_newtable(lua);
        lua_Integer index = 0;
        for (const auto &element : value) {
            pushJson(lua, element);
            lua_rawseti(lua, -2, ++index);
        }
    } else if (value.is_object()) {
        lua_newtable(lua);
        for (const auto &[name, element] : value.items()) {
            pushJson(lua, element);
            lua_setfield(lua, -2, name.c_str());
        }
    } else {
        lua_pushnil(lua);
    }
}

} // namespace cowsliphead::scenarios
