-- Helper functions for the scenarios, built on the functions that scenario.cpp registers.

local SIGKILL, SIGTERM, SIGCONT, SIGSTOP = 9, 15, 18, 19
local TIMEOUT = 20 -- seconds to wait for an expected event before the scenario fails

local store_port

function expect(condition, what)
    if not condition then
        error(what or "expectation not met", 2)
    end
end

function expect_equal(found, expected, what)
    if found ~= expected then
        error((what or "value") .. ": found " .. tostring(found) .. ", expected " .. tostring(expected), 2)
    end
end

function eventually(what, condition)
    expect(wait_until(condition, TIMEOUT), "did not happen in time: " .. what)
end

function start_store()
    local number, port = spawn({"standin", "store"}, "")
    expect(port > 0, "the store did not start")
    store_port = port
    use_store(port)
    return {number = number, port = port}
end

function start_engine(options)
    options = options or {}
    local number, port = spawn({"standin", "engine", "--model", options.model or "small",
        "--decode-us", tostring(options.decode_us or 200)}, "")
    expect(port > 0, "the engine did not start")
    return {number = number, port = port}
end

function start_service(name)
    local number, port = spawn({"standin", "service", "--name", name}, "")
    expect(port > 0, "the service did not start")
    return {number = number, port = port}
end

-- Starts a daemon. Top-level fields of settings replace the default ones.
function start_daemon(name, domain, settings)
    local document = {instance = name, failureDomain = domain, callers = {port = 0, drainAnnounceMs = 300, drainQuietMs = 200},
        store = {host = "127.0.0.1", port = store_port, timeoutMs = 1000}}
    for field, value in pairs(settings or {}) do
        document[field] = value
    end
    local number, port = spawn({"serve", "--config", "-"}, document)
    expect(port > 0, "the daemon " .. name .. " did not start")
    return {number = number, port = port, name = name}
end

function put_account(name, fields)
    local record = {kind = "account", name = name}
    for field, value in pairs(fields or {}) do
        record[field] = value
    end
    return put(record)
end

function put_engine(name, engine, domain, fields)
    local record = {kind = "endpoint", name = name, host = "127.0.0.1", port = engine.port, failureDomain = domain,
        models = {"small"}, credential = "credential-of-" .. name}
    for field, value in pairs(fields or {}) do
        record[field] = value
    end
    return put(record)
end

function put_service(name, service, domain, service_name)
    return put{kind = "endpoint", name = name, host = "127.0.0.1", port = service.port, failureDomain = domain,
        serves = "service", service = service_name, credential = "credential-of-" .. name}
end

function pause(process) send_signal(process.number, SIGSTOP) end
function resume(process) send_signal(process.number, SIGCONT) end
function kill(process) send_signal(process.number, SIGKILL) wait_for_exit(process.number, TIMEOUT) end
function terminate(process) send_signal(process.number, SIGTERM) end

function exit_code(process)
    return wait_for_exit(process.number, TIMEOUT)
end

-- Sends a request and returns its number without waiting for the answer.
function ask_async(daemon, key, fields)
    local description = {port = daemon.port, key = key}
    for field, value in pairs(fields) do
        description[field] = value
    end
    return open_request(description)
end

-- Waits until a request's answer has ended and returns it.
function answer_of(request)
    eventually("the end of an answer", function() return look(request).ended end)
    return look(request)
end

function ask(daemon, key, fields)
    return answer_of(ask_async(daemon, key, fields))
end

function completion(tokens, streamed)
    return {json = {model = "small", stream = streamed or false, max_tokens = tokens,
        messages = {{role = "user", content = "Hello"}}}}
end

-- Returns the tokens of a streamed answer in the order received.
function tokens_of(answer)
    local tokens = {}
    for token in answer.body:gmatch('"content":"(token%d+) "') do
        table.insert(tokens, token)
    end
    return tokens
end

function expect_whole_stream(answer, count)
    expect(answer.whole, "the answer ended early or with an error")
    expect(answer.body:find("data: %[DONE%]") ~= nil, "the answer has no final [DONE] event")
    local tokens = tokens_of(answer)
    expect_equal(#tokens, count, "number of tokens")
    for index, token in ipairs(tokens) do
        expect_equal(token, "token" .. (index - 1), "token at its position")
    end
end

function set_fault(standin, fault, delay_ms)
    expect_equal(ask(standin, nil, {path = "/standin/fault", json = {fault = fault, delayMs = delay_ms or 0}}).status, 200)
end

-- Starts a store and two engines and writes their records, an account and its key. The scenario starts the daemons itself.
function start_deployment(options)
    local deployment = {}
    deployment.store = start_store()
    deployment.engines = {start_engine(options), start_engine(options)}
    put_account("press")
    put{kind = "model", name = "small"}
    put_engine("engine1", deployment.engines[1], "a")
    put_engine("engine2", deployment.engines[2], "b")
    deployment.key = create_key("press")
    return deployment
end

function eventually_serves(daemon, key)
    eventually("the daemon serves", function() return ask(daemon, key, completion(1)).status == 200 end)
end

-- Processes events on the scenario's own connections for the given time.
function run_event_loop(seconds)
    wait_until(function() return false end, seconds)
end

function start_platform()
    local number, port = spawn({"standin", "platform"}, "")
    expect(port > 0, "the platform did not start")
    return {number = number, port = port}
end

function set_platform_fault(platform, fault)
    set_fault(platform, fault)
end

-- Returns all usage reports that the platform received, in the order of arrival.
function usage_reports(platform)
    local answer = ask(platform, nil, {path = "/standin/submissions", json = {}})
    return decode_json(answer.body)["/v1/usage"]
end

-- Returns the sum of all reported usage. A report sent again counts once; the scenario fails if its figures differ.
function total_usage(platform)
    local sum = {requests = 0, cutOff = 0, promptTokens = 0, answerTokens = 0}
    local seen = {}
    for _, report in ipairs(usage_reports(platform)) do
        for _, line in ipairs(report.models) do
            local name = report.account .. "/" .. report.window .. "/" .. line.model
            local figures = table.concat({line.requests, line.cutOff, line.promptTokens, line.answerTokens}, ",")
            if not seen[name] then
                for field in pairs(sum) do
                    sum[field] = sum[field] + line[field]
                end
            end
            expect_equal(figures, seen[name] or figures, "figures of " .. name)
            seen[name] = figures
        end
    end
    return sum
end

-- Opens streams at the daemon and waits until each has delivered three tokens.
function begin_streams(daemon, key, count, tokens)
    local streams = {}
    for index = 1, count do
        streams[index] = ask_async(daemon, key, completion(tokens, true))
    end
    eventually("all streams have begun", function()
        for _, stream in ipairs(streams) do
            if #tokens_of(look(stream)) < 3 then return false end
        end
        return true
    end)
    return streams
end
