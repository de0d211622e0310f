-- Three daemons are restarted one after the other under load. Guards against requests that are cut off by the shutdown.

local deployment = start_deployment{decode_us = 1000}
local daemons = {}
for index, domain in ipairs{"a", "b", "c"} do
    daemons[index] = start_daemon(domain .. "1", domain)
    eventually_serves(daemons[index], deployment.key)
end

local function health_of(daemon)
    return ask(daemon, nil, {method = "GET", path = "/healthz"}).status
end

for index, domain in ipairs{"a", "b", "c"} do
    local draining = daemons[index]
    expect_equal(health_of(draining), 200, "health before the stop")
    local streams = begin_streams(draining, deployment.key, 5, 400)
    terminate(draining)
    eventually("the daemon reports that it is draining", function() return health_of(draining) == 503 end)

    -- A load balancer that has not yet noticed the drain still sends requests; they are served.
    local late_answer = ask(draining, deployment.key, completion(5))
    expect_equal(late_answer.status, 200, "a request to the draining daemon")

    for _, stream in ipairs(streams) do
        expect_whole_stream(answer_of(stream), 400)
    end
    expect_equal(exit_code(draining), 0, "exit code")
    daemons[index] = start_daemon(domain .. "1", domain)
    eventually_serves(daemons[index], deployment.key)
end
