-- All usage is reported once, though the platform loses answers and a daemon stops: a cut-off stream counts as far as it was passed on.

local site = a_small_site{decode_us = 1000}
local platform = start_platform()
local settings = {platform = {port = platform.port}, usage = {windowMs = 1000, flushMs = 100, sealDelayMs = 300}}
local first = start_daemon("a1", "a", settings)
local second = start_daemon("b1", "b", settings)

local served, tokens = 0, 0
local function serve(daemon, count, streamed)
    local answer = ask(daemon, site.key, completion(count, streamed))
    if answer.status == 200 then
        served = served + 1
        tokens = tokens + count
    end
    return answer.status == 200
end
eventually("the first daemon serves", function() return serve(first, 1) end)
eventually("the second daemon serves", function() return serve(second, 1) end)

-- The platform takes reports and loses its answers.
set_platform_fault(platform, "lose-answers")
serve(first, 20, true)
serve(second, 30)
eventually("a report is sent twice", function() return #reports(platform) > 1 end)
set_platform_fault(platform, "none")

-- The caller leaves in mid-stream, and the daemon stops.
local stream = ask_later(second, site.key, completion(100000, true))
eventually("the stream has begun", function() return #tokens_of(look(stream)) > 10 end)
leave(stream)
let_pass(0.2) -- The connection is closed in a later turn.
terminate(second)
expect_equal(exit_code(second), 0, "exit code of the stopped daemon")

eventually("everything is reported", function()
    local sum = billed(platform)
    return sum.requests == served + 1 and sum.cutOff == 1
end)
local sum = billed(platform)
expect(sum.answerTokens >= tokens + 10, "tokens of the cut-off stream")
expect(sum.answerTokens < tokens + 100000, "tokens that were not passed on")
