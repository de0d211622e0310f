#include "scenarios/scenario.h"

#include <csignal>
#include <cstdlib>
#include <exception>
#include <memory>

#include <lua.hpp>
#include <nlohmann/json.hpp>

#include "core/sha256.h"
#include "scenarios/luajson.h"
#include "scenarios/scenarioenvironment.h"

namespace cowsliphead::scenarios
{

namespace
{

using LuaState = std::unique_ptr<lua_State, decltype(&lua_close)>;
using LuaFunction = int (*)(lua_State *, ScenarioEnvironment &);

std::size_t indexArgument(lua_State *lua, int stackIndex)
{
    return static_cast<std::size_t>(luaL_checkinteger(lua, stackIndex));
}

std::chrono::milliseconds durationArgument(lua_State *lua, int stackIndex)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::duration<double>(luaL_checknumber(lua, stackIndex)));
}

/// spawn(arguments, input): starts a process; returns its number and port.
int spawn(lua_State *lua, ScenarioEnvironment &environment)
{
    const auto arguments = jsonFromLua(lua, 1).get<std::vector<std::string>>();
    const auto input = lua_isstring(lua, 2) != 0 ? std::string(lua_tostring(lua, 2)) : jsonFromLua(lua, 2).dump();
    const auto number = environment.start(arguments, input);
    lua_pushinteger(lua, static_cast<lua_Integer>(number));
    lua_pushinteger(lua, environment.process(number).port());
    return 2;
}

int sendSignal(lua_State *lua, ScenarioEnvironment &environment)
{
    environment.process(indexArgument(lua, 1)).signal(static_cast<int>(luaL_checkinteger(lua, 2)));
    return 0;
}

/// wait_for_exit(process, seconds): returns the exit code, or nil if the process still runs.
int waitForExit(lua_State *lua, ScenarioEnvironment &environment)
{
    const auto code = environment.process(indexArgument(lua, 1)).waitForExit(durationArgument(lua, 2));
    if (code) {
        lua_pushinteger(lua, *code);
    } else {
        lua_pushnil(lua);
    }
    return 1;
}

int useStore(lua_State *lua, ScenarioEnvironment &environment)
{
    environment.useStore(static_cast<std::uint16_t>(luaL_checkinteger(lua, 1)));
    return 0;
}

int put(lua_State *lua, ScenarioEnvironment &environment)
{
    lua_pushinteger(lua, static_cast<lua_Integer>(environment.put(jsonFromLua(lua, 1).dump())));
    return 1;
}

int withdraw(lua_State *lua, ScenarioEnvironment &environment)
{
    lua_pushinteger(lua, static_cast<lua_Integer>(environment.withdraw(luaL_checkstring(lua, 1), luaL_checkstring(lua, 2))));
    return 1;
}

int createKey(lua_State *lua, ScenarioEnvironment &environment)
{
    lua_pushstring(lua, environment.createKey(luaL_checkstring(lua, 1)).c_str());
    return 1;
}

int openRequest(lua_State *lua, ScenarioEnvironment &environment)
{
    lua_pushinteger(lua, static_cast<lua_Integer>(environment.sendRequest(jsonFromLua(lua, 1))));
    return 1;
}

/// look(request): returns the current status, headers, body, ended and whole. The status is 0 before the answer's head has arrived.
int pushAnswer(lua_State *lua, ScenarioEnvironment &environment)
{
    const auto &exchange = environment.exchange(indexArgument(lua, 1));
    auto headers = nlohmann::json::object();
    for (const auto &[name, value] : exchange.head_.headers_) {
        headers[name] = value;
    }
    const bool hasHead = !exchange.head_.headers_.empty();
    pushJson(lua,
             { { "status", hasHead ? exchange.head_.status_ : 0 },
               { "headers", headers },
               { "body", exchange.body_ },
               { "ended", exchange.isEnded_ },
               { "whole", exchange.isComplete_ } });
    return 1;
}

/// leave(request): cancels the request, as a caller that disconnects does.
int cancelRequest(lua_State *lua, ScenarioEnvironment &environment)
{
    environment.cancelRequest(indexArgument(lua, 1));
    return 0;
}

/// wait_until(condition, seconds): returns false if the condition is still false after that time.
int waitUntil(lua_State *lua, ScenarioEnvironment &environment)
{
    const auto evaluate = [lua] {
        lua_pushvalue(lua, 1);
        if (lua_pcall(lua, 0, 1, 0) != LUA_OK) {
            const std::string message = lua_tostring(lua, -1);
            throw std::runtime_error(message); // Reported as the scenario's failure.
        }
        const bool result = lua_toboolean(lua, -1) != 0;
        lua_pop(lua, 1);
        return result;
    };
    lua_pushboolean(lua, environment.waitUntil(evaluate, durationArgument(lua, 2)) ? 1 : 0);
    return 1;
}

int digestOf(lua_State *lua, ScenarioEnvironment & /*environment*/)
{
    lua_pushstring(lua, sha256Hex(luaL_checkstring(lua, 1)).c_str());
    return 1;
}

int decodeJson(lua_State *lua, ScenarioEnvironment & /*environment*/)
{
    pushJson(lua, nlohmann::json::parse(luaL_checkstring(lua, 1), nullptr, false));
    return 1;
}

/// Calls a registered function and converts an exception into a Lua error.
int callFunction(lua_State *lua)
{
    auto *environment = static_cast<ScenarioEnvironment *>(lua_touserdata(lua, lua_upvalueindex(1)));
    const auto implementation = reinterpret_cast<LuaFunction>(lua_touserdata(lua, lua_upvalueindex(2)));
    try {
        return implementation(lua, *environment);
    } catch (const std::exception &failure) {
        lua_pushstring(lua, failure.what());
    }
    return lua_error(lua);
}

void registerFunction(lua_State *lua, ScenarioEnvironment &environment, const char *name, LuaFunction implementation)
{
    lua_pushlightuserdata(lua, &environment);
    lua_pushlightuserdata(lua, reinterpret_cast<void *>(implementation));
    lua_pushcclosure(lua, &callFunction, 2);
    lua_setglobal(lua, name);
}

void registerFunctions(lua_State *lua, ScenarioEnvironment &environment)
{
    registerFunction(lua, environment, "spawn", &spawn);
    registerFunction(lua, environment, "send_signal", &sendSignal);
    registerFunction(lua, environment, "wait_for_exit", &waitForExit);
    registerFunction(lua, environment, "use_store", &useStore);
    registerFunction(lua, environment, "put", &put);
    registerFunction(lua, environment, "withdraw", &withdraw);
    registerFunction(lua, environment, "create_key", &createKey);
    registerFunction(lua, environment, "open_request", &openRequest);
    registerFunction(lua, environment, "look", &pushAnswer);
    registerFunction(lua, environment, "leave", &cancelRequest);
    registerFunction(lua, environment, "wait_until", &waitUntil);
    registerFunction(lua, environment, "digest_of", &digestOf);
    registerFunction(lua, environment, "decode_json", &decodeJson);
}

std::optional<std::string> runScript(lua_State *lua, const std::string &file)
{
    if (luaL_dofile(lua, file.c_str()) == LUA_OK) {
        return std::nullopt;
    }
    return lua_tostring(lua, -1) == nullptr ? "an error without a message" : lua_tostring(lua, -1);
}

} // namespace

std::optional<std::string> runScenario(const std::string &name)
{
    std::signal(SIGPIPE, SIG_IGN);
    const auto *program = std::getenv("COWSLIPHEAD_PROGRAM");
    if (program == nullptr) {
        return "COWSLIPHEAD_PROGRAM does not name the program under test";
    }
    ScenarioEnvironment environment(program);
    const LuaState lua(luaL_newstate(), &lua_close);
    luaL_openlibs(lua.get());
    registerFunctions(lua.get(), environment);
    const std::string folder = COWSLIPHEAD_SOURCE_DIR "/tests/scenarios/";
    if (auto failure = runScript(lua.get(), folder + "words.lua")) {
        return failure;
    }
    return runScript(lua.get(), folder + "stories/" + name + ".lua");
}

} // namespace cowsliphead::scenarios
