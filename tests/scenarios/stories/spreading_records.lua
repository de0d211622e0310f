-- Records reach all daemons over relays and peers; a paused daemon catches up; a stale daemon refuses the accounts that set a limit.

local IN_FORCE = 6 -- seconds until an accepted change is in force everywhere

local site = a_small_site()
put_account("strict", {maxStalenessMs = 4000})
local strict_key = create_key("strict")
local daemons = {}
for index = 1, 4 do
    daemons[index] = start_daemon("a" .. index, "a")
end
for _, daemon in ipairs(daemons) do
    eventually_serves(daemon, site.key)
    eventually_serves(daemon, strict_key)
end

local function refused_everywhere(key)
    return function()
        for _, daemon in ipairs(daemons) do
            if ask(daemon, key, completion(1)).status ~= 401 then
                return false
            end
        end
        return true
    end
end

-- A withdrawn key stops in time at relays and at those who follow them.
local first = create_key("press")
for _, daemon in ipairs(daemons) do
    eventually_serves(daemon, first)
end
withdraw("key", digest_of(first))
expect(wait_until(refused_everywhere(first), IN_FORCE), "the key still works somewhere")

-- A daemon that was paused meanwhile refuses it, too.
local second = create_key("press")
for _, daemon in ipairs(daemons) do
    eventually_serves(daemon, second)
end
pause(daemons[1])
withdraw("key", digest_of(second))
resume(daemons[1])
expect(wait_until(refused_everywhere(second), IN_FORCE), "the key still works somewhere after a pause")

-- A killed daemon, relay or not, is replaced.
kill(daemons[1])
table.remove(daemons, 1)
local third = create_key("press")
for _, daemon in ipairs(daemons) do
    eventually_serves(daemon, third)
end
withdraw("key", digest_of(third))
expect(wait_until(refused_everywhere(third), IN_FORCE), "the key still works somewhere after a kill")

-- Without the store, accounts without a limit are served, others are refused as not run.
set_store_fault(site.store, "down")
eventually("the stale daemons refuse the account with a limit", function()
    local answer = ask(daemons[1], strict_key, completion(1))
    return answer.status == 503 and answer.headers["Cowsliphead-Outcome"] == "not-run" and answer.body:find("records_too_old") ~= nil
end)
expect_equal(ask(daemons[1], site.key, completion(1)).status, 200, "the account without a limit")
set_store_fault(site.store, "none")
eventually_serves(daemons[1], strict_key)

-- A key in the wrong place is refused and not run.
local exposed = ask(daemons[1], site.key, {json = {model = "small", user = site.key, messages = {}}})
expect_equal(exposed.status, 400, "a key in the body")
expect_equal(exposed.headers["Cowsliphead-Outcome"], "not-run")
