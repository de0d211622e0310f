-- A request goes through separate processes; a withdrawn key stops working; a stopping daemon finishes its answers.

local site = a_small_site{decode_us = 1000}
local first = start_daemon("a1", "a")
local second = start_daemon("b1", "b")
eventually_serves(first, site.key)
eventually_serves(second, site.key)

-- A streamed and a whole answer.
expect_whole_stream(ask(first, site.key, completion(20, true)), 20)
local answer = ask(second, site.key, completion(20))
expect_equal(answer.status, 200)
expect_equal(answer.headers["Cowsliphead-Outcome"], "run")

-- A second key is created and withdrawn while the first goes on working.
local other = create_key("press")
eventually("the new key works at both daemons", function()
    return ask(first, other, completion(1)).status == 200 and ask(second, other, completion(1)).status == 200
end)
withdraw("key", digest_of(other))
eventually("the withdrawn key no longer works at either daemon", function()
    return ask(first, other, completion(1)).status == 401 and ask(second, other, completion(1)).status == 401
end)
expect_equal(ask(first, site.key, completion(1)).status, 200, "the other key")

-- A daemon that is asked to stop in mid-stream finishes the stream.
local stream = ask_later(first, site.key, completion(500, true))
eventually("the stream has begun", function() return #tokens_of(look(stream)) > 10 end)
terminate(first)
expect_whole_stream(answer_of(stream), 500)
expect_equal(exit_code(first), 0, "exit code of the stopped daemon")

-- The other daemon goes on.
expect_equal(ask(second, site.key, completion(1)).status, 200)
