-- Records reach all daemons through relays and peers, a paused daemon catches up, and a daemon with stale records refuses the accounts that
-- limit staleness.

local IN_FORCE = 6 -- seconds until an accepted change is in force everywhere

local deployment = start_deployment()
put_account("strict", {maxStalenessMs = 4000})
local strict_key = create_key("strict")
local daemons = {}
for index = 1, 4 do
    daemons[index] = start_daemon("a" .. index, "a")
end
for _, daemon in ipairs(daemons) do
    eventually_serves(daemon, deployment.key)
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

-- A withdrawn key is refused in time by relays and by the daemons that follow them.
local first = create_key("press")
for _, daemon in ipairs(daemons) do
    eventually_serves(daemon, first)
end
withdraw("key", digest_of(first))
expect(wait_until(refused_everywhere(first), IN_FORCE), "the key still works somewhere")

-- A daemon that was paused during the withdrawal refuses the key as well.
local second = create_key("press")
for _, daemon in ipairs(daemons) do
    eventually_serves(daemon, second)
end
pause(daemons[1])
withdraw("key", digest_of(second))
resume(daemons[1])
expect(wait_until(refused_everywhere(second), IN_FORCE), "the key still works somewhere after a pause")

-- The other daemons apply a withdrawal after one of them, possibly a relay, was killed.
kill(daemons[1])
table.remove(daemons, 1)
local third = create_key("press")
for _, daemon in ipairs(daemons) do
    eventually_serves(daemon, third)
end
withdraw("key", digest_of(third))
expect(wait_until(refused_everywhere(third), IN_FORCE), "the key still works somewhere after a kill")

-- While the store is down, accounts without a staleness limit are served; the others are refused with the outcome "not-run".
set_fault(deployment.store, "down")
eventually("a daemon with stale records refuses the account with a limit", function()
    local answer = ask(daemons[1], strict_key, completion(1))
    return answer.status == 503 and answer.headers["Cowsliphead-Outcome"] == "not-run" and answer.body:find("records_too_old") ~= nil
end)
expect_equal(ask(daemons[1], deployment.key, completion(1)).status, 200, "the account without a limit")
set_fault(deployment.store, "none")
eventually_serves(daemons[1], strict_key)

-- A request with a key in its body is refused and not run.
local refused = ask(daemons[1], deployment.key, {json = {model = "small", user = deployment.key, messages = {}}})
expect_equal(refused.status, 400, "a key in the body")
expect_equal(refused.headers["Cowsliphead-Outcome"], "not-run")
