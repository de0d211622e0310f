-- All usage is reported exactly once although the platform loses answers and a daemon stops. A stream that its caller cancels counts with the
-- tokens that were forwarded.

local deployment = start_deployment{decode_us = 1000}
local platform = start_platform()
local settings = {platform = {port = platform.port}, usage = {windowMs = 1000, flushMs = 100, sealDelayMs = 300}}
local first = start_daemon("a1", "a", settings)
local second = start_daemon("b1", "b", settings)

local served, tokens = 0, 0
local function serve(daemon, count, streamed)
    local answer = ask(daemon, deployment.key, completion(count, streamed))
    if answer.status == 200 then
        served = served + 1
        tokens = tokens + count
    end
    return answer.status == 200
end
eventually("the first daemon serves", function() return serve(first, 1) end)
eventually("the second daemon serves", function() return serve(second, 1) end)

-- The platform accepts reports, but its answers are lost.
set_platform_fault(platform, "lose-answers")
serve(first, 20, true)
serve(second, 30)
eventually("a report is sent twice", function() return #usage_reports(platform) > 1 end)
set_platform_fault(platform, "none")

-- The caller disconnects in mid-stream, and then the daemon stops.
local stream = ask_async(second, deployment.key, completion(100000, true))
eventually("the stream has begun", function() return #tokens_of(look(stream)) > 10 end)
leave(stream)
run_event_loop(0.2) -- The connection is closed in a later turn of the event loop.
terminate(second)
expect_equal(exit_code(second), 0, "exit code of the stopped daemon")

eventually("everything is reported", function()
    local sum = total_usage(platform)
    return sum.requests == served + 1 and sum.cutOff == 1
end)
local sum = total_usage(platform)
expect(sum.answerTokens >= tokens + 10, "tokens of the cut-off stream")
expect(sum.answerTokens < tokens + 100000, "tokens that were not forwarded")
