-- When an operator drains an engine, its streams are completed, and once the record is in force it gets no new requests.

local deployment = start_deployment{decode_us = 1000}
local daemon = start_daemon("a1", "a")
eventually_serves(daemon, deployment.key)

local streams = begin_streams(daemon, deployment.key, 8, 400)

put_engine("engine1", deployment.engines[1], "a", {draining = true})
for _, stream in ipairs(streams) do
    expect_whole_stream(answer_of(stream), 400)
end

-- Once the record is in force, no request goes to the drained engine, so killing it causes no failures.
eventually("requests are served without the drained engine", function()
    return ask(daemon, deployment.key, completion(1)).status == 200
end)
kill(deployment.engines[1])
for _ = 1, 20 do
    expect_equal(ask(daemon, deployment.key, completion(1)).status, 200, "a request after the engine was killed")
end
