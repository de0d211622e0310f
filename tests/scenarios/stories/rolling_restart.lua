-- Three daemons are replaced one after the other while callers stream and ask; nobody's request is cut.

local site = a_small_site{decode_us = 1000}
local daemons = {}
for index, domain in ipairs{"a", "b", "c"} do
    daemons[index] = start_daemon(domain .. "1", domain)
    eventually_serves(daemons[index], site.key)
end

local function health_of(daemon)
    return ask(daemon, nil, {method = "GET", path = "/healthz"}).status
end

for index, domain in ipairs{"a", "b", "c"} do
    local leaving = daemons[index]
    expect_equal(health_of(leaving), 200, "health before")
    local streams = begin_streams(leaving, site.key, 5, 400)
    terminate(leaving)
    eventually("the daemon announces that it leaves", function() return health_of(leaving) == 503 end)

    -- A balancer that has not noticed yet still sends requests: they are served.
    local late = ask(leaving, site.key, completion(5))
    expect_equal(late.status, 200, "a request to the leaving daemon")

    for _, stream in ipairs(streams) do
        expect_whole_stream(answer_of(stream), 400)
    end
    expect_equal(exit_code(leaving), 0, "exit code")
    daemons[index] = start_daemon(domain .. "1", domain)
    eventually_serves(daemons[index], site.key)
end
