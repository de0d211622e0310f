#include "scenarios/scenario.h"

#include <csignal>
#include <cstdlib>
#include <exception>
#include <memory>

#include <lua.hpp>
#include <nlohmann/json.hpp>

#include "core/sha256.h"
#include "scenarios/luajson.h"
#include "scenarios/world.h"

namespace cowsliphead::scenarios
{

namespace
{

using LuaState = std::unique_ptr<lua_State, decltype(&lua_close)>;
using Word = int (*)(lua_State *, World &);

std::size_t numberAt(lua_State *lua, int place)
{
    return static_cast<std::size_t>(luaL_checkinteger(lua, place));
}

std::chrono::milliseconds secondsAt(lua_State *lua, int place)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::duration<double>(luaL_checknumber(lua, place)));
}

/// spawn(arguments, input): starts a process and returns its number and port.
int spawn(lua_State *lua, World &world)
{
    const auto arguments = jsonFromLua(lua, 1).get<std::vector<std::string>>();
    const auto input = lua_isstring(lua, 2) != 0 ? std::string(lua_tostring(lua, 2)) : jsonFromLua(lua, 2).dump();
    const auto number = world.start(arguments, input);
    lua_pushinteger(lua, static_cast<lua_Integer>(number));
    lua_pushinteger(lua, world.process(number).port());
    return 2;
}

int sendSignal(lua_State *lua, World &world)
{
    world.process(numberAt(lua, 1)).signal(static_cast<int>(luaL_checkinteger(lua, 2)));
    return 0;
}

/// wait_for_exit(process, seconds): the exit code, or nil.
int waitForExit(lua_State *lua, World &world)
{
    const auto code = world.process(numberAt(lua, 1)).waitForExit(secondsAt(lua, 2));
    if (code) {
        lua_pushinteger(lua, *code);
    } else {
        lua_pushnil(lua);
    }
    return 1;
}

int useStore(lua_State *lua, World &world)
{
    world.useStore(static_cast<std::uint16_t>(luaL_checkinteger(lua, 1)));
    return 0;
}

int put(lua_State *lua, World &world)
{
    lua_pushinteger(lua, static_cast<lua_Integer>(world.put(jsonFromLua(lua, 1).dump())));
    return 1;
}

int withdraw(lua_State *lua, World &world)
{
    lua_pushinteger(lua, static_cast<lua_Integer>(world.withdraw(luaL_checkstring(lua, 1), luaL_checkstring(lua, 2))));
    return 1;
}

int createKey(lua_State *lua, World &world)
{
    lua_pushstring(lua, world.createKey(luaL_checkstring(lua, 1)).c_str());
    return 1;
}

int openRequest(lua_State *lua, World &world)
{
    lua_pushinteger(lua, static_cast<lua_Integer>(world.open(jsonFromLua(lua, 1))));
    return 1;
}

/// look(request): status, headers, body, ended and whole, as they are now.
int look(lua_State *lua, World &world)
{
    const auto &exchange = world.exchange(numberAt(lua, 1));
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
               { "whole", exchange.isWhole_ } });
    return 1;
}

int leave(lua_State *lua, World &world)
{
    world.leave(numberAt(lua, 1));
    return 0;
}

/// wait_until(condition, seconds): whether the condition came to hold.
int waitUntil(lua_State *lua, World &world)
{
    const auto holds = [lua] {
        lua_pushvalue(lua, 1);
        if (lua_pcall(lua, 0, 1, 0) != LUA_OK) {
            const std::string message = lua_tostring(lua, -1);
            throw std::runtime_error(message); // Becomes the story's failure in the test's report.
        }
        const bool result = lua_toboolean(lua, -1) != 0;
        lua_pop(lua, 1);
        return result;
    };
    lua_pushboolean(lua, world.waitUntil(holds, secondsAt(lua, 2)) ? 1 : 0);
    return 1;
}

int digestOf(lua_State *lua, World & /*world*/)
{
    lua_pushstring(lua, sha256Hex(luaL_checkstring(lua, 1)).c_str());
    return 1;
}

int decodeJson(lua_State *lua, World & /*world*/)
{
    pushJson(lua, nlohmann::json::parse(luaL_checkstring(lua, 1), nullptr, false));
    return 1;
}

/// Calls a word of the story and turns its failure into an error of the story.
int callWord(lua_State *lua)
{
    auto *world = static_cast<World *>(lua_touserdata(lua, lua_upvalueindex(1)));
    const auto word = reinterpret_cast<Word>(lua_touserdata(lua, lua_upvalueindex(2)));
    try {
        return word(lua, *world);
    } catch (const std::exception &failure) {
        lua_pushstring(lua, failure.what());
    }
    return lua_error(lua);
}

void addWord(lua_State *lua, World &world, const char *name, Word word)
{
    lua_pushlightuserdata(lua, &world);
    lua_pushlightuserdata(lua, reinterpret_cast<void *>(word));
    lua_pushcclosure(lua, &callWord, 2);
    lua_setglobal(lua, name);
}

void addWords(lua_State *lua, World &world)
{
    addWord(lua, world, "spawn", &spawn);
    addWord(lua, world, "send_signal", &sendSignal);
    addWord(lua, world, "wait_for_exit", &waitForExit);
    addWord(lua, world, "use_store", &useStore);
    addWord(lua, world, "put", &put);
    addWord(lua, world, "withdraw", &withdraw);
    addWord(lua, world, "create_key", &createKey);
    addWord(lua, world, "open_request", &openRequest);
    addWord(lua, world, "look", &look);
    addWord(lua, world, "leave", &leave);
    addWord(lua, world, "wait_until", &waitUntil);
    addWord(lua, world, "digest_of", &digestOf);
    addWord(lua, world, "decode_json", &decodeJson);
}

std::optional<std::string> runFile(lua_State *lua, const std::string &file)
{
    if (luaL_dofile(lua, file.c_str()) == LUA_OK) {
        return std::nullopt;
    }
    return lua_tostring(lua, -1) == nullptr ? "an error without a message" : lua_tostring(lua, -1);
}

} // namespace

std::optional<std::string> runStory(const std::string &name)
{
    std::signal(SIGPIPE, SIG_IGN);
    const auto *program = std::getenv("COWSLIPHEAD_PROGRAM");
    if (program == nullptr) {
        return "COWSLIPHEAD_PROGRAM does not name the program under test";
    }
    World world(program);
    const LuaState lua(luaL_newstate(), &lua_close);
    luaL_openlibs(lua.get());
    addWords(lua.get(), world);
    const std::string folder = COWSLIPHEAD_SOURCE_DIR "/tests/scenarios/";
    if (auto failure = runFile(lua.get(), folder + "words.lua")) {
        return failure;
    }
    return runFile(lua.get(), folder + "stories/" + name + ".lua");
}

} // namespace cowsliphead::scenarios
