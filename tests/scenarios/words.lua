-- The words in which the stories are told, on top of the ones that the runner gives.

local SIGKILL, SIGTERM, SIGCONT, SIGSTOP = 9, 15, 18, 19
local PATIENCE = 20 -- seconds until something that has to happen counts as not happening

local store_port

function expect(condition, what)
    if not condition then
        error(what or "expectation not met", 2)
    end
end

function expect_equal(found, wanted, what)
    if found ~= wanted then
        error((what or "value") .. ": found " .. tostring(found) .. ", expected " .. tostring(wanted), 2)
    end
end

function eventually(what, condition)
    expect(wait_until(condition, PATIENCE), "did not happen in time: " .. what)
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

-- Starts a daemon; fields of settings replace the usual ones.
function start_daemon(name, domain, settings)
    local all = {instance = name, failureDomain = domain, callers = {port = 0, drainAnnounceMs = 300, drainQuietMs = 200},
        store = {host = "127.0.0.1", port = store_port, timeoutMs = 1000}}
    for field, value in pairs(settings or {}) do
        all[field] = value
    end
    local number, port = spawn({"serve", "--config", "-"}, all)
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

function put_service(name, service, domain, of)
    return put{kind = "endpoint", name = name, host = "127.0.0.1", port = service.port, failureDomain = domain,
        serves = "service", service = of, credential = "credential-of-" .. name}
end

function pause(process) send_signal(process.number, SIGSTOP) end
function resume(process) send_signal(process.number, SIGCONT) end
function kill(process) send_signal(process.number, SIGKILL) wait_for_exit(process.number, PATIENCE) end
function terminate(process) send_signal(process.number, SIGTERM) end

function exit_code(process)
    return wait_for_exit(process.number, PATIENCE)
end

-- Opens a request and goes on at once.
function ask_later(daemon, key, fields)
    local description = {port = daemon.port, key = key}
    for field, value in pairs(fields) do
        description[field] = value
    end
    return open_request(description)
end

-- Waits for the end of a request's answer.
function answer_of(request)
    eventually("the end of an answer", function() return look(request).ended end)
    return look(request)
end

function ask(daemon, key, fields)
    return answer_of(ask_later(daemon, key, fields))
end

function completion(tokens, streamed)
    return {json = {model = "small", stream = streamed or false, max_tokens = tokens,
        messages = {{role = "user", content = "Hello"}}}}
end

-- The tokens of a streamed answer, in their order, as the caller got them.
function tokens_of(answer)
    local tokens = {}
    for token in answer.body:gmatch('"content":"(token%d+) "') do
        table.insert(tokens, token)
    end
    return tokens
end

function expect_whole_stream(answer, count)
    expect(answer.whole, "the answer is not whole")
    expect(answer.body:find("data: %[DONE%]") ~= nil, "the answer has no last event")
    local tokens = tokens_of(answer)
    expect_equal(#tokens, count, "number of tokens")
    for index, token in ipairs(tokens) do
        expect_equal(token, "token" .. (index - 1), "token in its place")
    end
end

function set_store_fault(store, fault, delay_ms)
    expect_equal(ask(store, nil, {path = "/standin/fault", json = {fault = fault, delayMs = delay_ms or 0}}).status, 200)
end

-- A store, two engines and an account with its key; daemons are the story's own.
function a_small_site(options)
    local site = {}
    site.store = start_store()
    site.engines = {start_engine(options), start_engine(options)}
    put_account("press")
    put{kind = "model", name = "small"}
    put_engine("engine1", site.engines[1], "a")
    put_engine("engine2", site.engines[2], "b")
    site.key = create_key("press")
    return site
end

function eventually_serves(daemon, key)
    eventually("the daemon serves", function() return ask(daemon, key, completion(1)).status == 200 end)
end

-- Lets the story's own connections go on.
function let_pass(seconds)
    wait_until(function() return false end, seconds)
end

function start_platform()
    local number, port = spawn({"standin", "platform"}, "")
    expect(port > 0, "the platform did not start")
    return {number = number, port = port}
end

function set_platform_fault(platform, fault)
    set_store_fault(platform, fault)
end

-- All usage reports that the platform was sent, in the order of their arrival.
function reports(platform)
    local answer = ask(platform, nil, {path = "/standin/submissions", json = {}})
    return decode_json(answer.body)["/v1/usage"]
end

-- The sum of all reports, each account and window once; fails on two that differ.
function billed(platform)
    local sum = {requests = 0, cutOff = 0, promptTokens = 0, answerTokens = 0}
    local seen = {}
    for _, report in ipairs(reports(platform)) do
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

-- Opens streams at the daemon and waits until each has begun.
function begin_streams(daemon, key, count, tokens)
    local streams = {}
    for each = 1, count do
        streams[each] = ask_later(daemon, key, completion(tokens, true))
    end
    eventually("all streams have begun", function()
        for _, stream in ipairs(streams) do
            if #tokens_of(look(stream)) < 3 then return false end
        end
        return true
    end)
    return streams
end
