-- Requests pass through separate processes, a withdrawn key is refused everywhere, and a stopping daemon completes its answers.

local deployment = start_deployment{decode_us = 1000}
local first = start_daemon("a1", "a")
local second = start_daemon("b1", "b")
eventually_serves(first, deployment.key)
eventually_serves(second, deployment.key)

-- One streamed and one unstreamed answer.
expect_whole_stream(ask(first, deployment.key, completion(20, true)), 20)
local answer = ask(second, deployment.key, completion(20))
expect_equal(answer.status, 200)
expect_equal(answer.headers["Cowsliphead-Outcome"], "run")

-- A second key is created and withdrawn; the first one stays valid.
local second_key = create_key("press")
eventually("the new key works at both daemons", function()
    return ask(first, second_key, completion(1)).status == 200 and ask(second, second_key, completion(1)).status == 200
end)
withdraw("key", digest_of(second_key))
eventually("the withdrawn key no longer works at either daemon", function()
    return ask(first, second_key, completion(1)).status == 401 and ask(second, second_key, completion(1)).status == 401
end)
expect_equal(ask(first, deployment.key, completion(1)).status, 200, "the first key")

-- A daemon that receives a stop signal in mid-stream completes the stream.
local stream = ask_async(first, deployment.key, completion(500, true))
eventually("the stream has begun", function() return #tokens_of(look(stream)) > 10 end)
terminate(first)
expect_whole_stream(answer_of(stream), 500)
expect_equal(exit_code(first), 0, "exit code of the stopped daemon")

-- The other daemon still serves requests.
expect_equal(ask(second, deployment.key, completion(1)).status, 200)
