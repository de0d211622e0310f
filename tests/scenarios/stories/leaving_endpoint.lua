-- An operator drains an engine: its streams end whole, and after a few seconds it gets no new work.

local site = a_small_site{decode_us = 1000}
local daemon = start_daemon("a1", "a")
eventually_serves(daemon, site.key)

local streams = begin_streams(daemon, site.key, 8, 400)

put_engine("engine1", site.engines[1], "a", {draining = true})
for _, stream in ipairs(streams) do
    expect_whole_stream(answer_of(stream), 400)
end

-- Once the record is in force, the engine is not asked any more: killing it is not noticed.
eventually("the drained engine is not needed", function()
    return ask(daemon, site.key, completion(1)).status == 200
end)
kill(site.engines[1])
for _ = 1, 20 do
    expect_equal(ask(daemon, site.key, completion(1)).status, 200, "a request after the engine has gone")
end
