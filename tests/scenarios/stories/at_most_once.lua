-- Guards against running a request with an idempotency key twice: it is sent to several daemons, repeated after a daemon was killed,
-- and sent while the store is down or loses its answers.

local deployment = start_deployment()
local service = start_service("orders")
put_service("orders1", service, "a", "orders")
put{kind = "route", name = "orders", pathPrefix = "/orders", service = "orders"}
local first = start_daemon("a1", "a")
local second = start_daemon("b1", "b")
eventually_serves(first, deployment.key)
eventually_serves(second, deployment.key)

local function send_order(daemon, idempotency_key, text)
    return ask(daemon, deployment.key, {method = "POST", path = "/orders", body = text, headers = {["Idempotency-Key"] = idempotency_key}})
end

local function expect_answer(answer, status, outcome, what)
    expect_equal(answer.status, status, "status of " .. what)
    expect_equal(answer.headers["Cowsliphead-Outcome"], outcome, "outcome of " .. what)
end

local function runs_of(text)
    local answer = ask(service, nil, {path = "/standin/runs"})
    return tonumber(answer.body:match('"' .. text .. '":(%d+)') or "0")
end

-- The same key gets the same answer from the same daemon, and from another daemon once the result is in the store.
local answer = send_order(first, "k1", "sheets")
expect_answer(answer, 200, "run", "the first request")
expect_equal(send_order(first, "k1", "sheets").body, answer.body, "the repeated answer")
eventually("the other daemon repeats the answer", function() return send_order(second, "k1", "sheets").body == answer.body end)
expect_equal(runs_of("sheets"), 1, "runs of the first request")
expect_answer(send_order(second, "k1", "pillows"), 422, "not-run", "another request with the same key")
expect_equal(runs_of("pillows"), 0, "runs of the other request")

-- Returns the claims in the store, as JSON text.
local function claims()
    return ask(deployment.store, nil, {path = "/v1/list", json = {prefix = "claim", after = "", limit = 1000}}).body
end

-- If the daemon is killed during a request, the outcome for its key is never "not-run". The scenario reads from the store
-- whether the daemon has claimed the key: a request to the second daemon, sent to find out, could claim the key there first.
pause(service)
local before = claims()
local lost = ask_async(first, deployment.key, {method = "POST", path = "/orders", body = "covers", headers = {["Idempotency-Key"] = "k2"}})
eventually("the daemon claims the key", function() return claims() ~= before end)
expect_answer(send_order(second, "k2", "covers"), 409, "unknown", "a request repeated while it is running")
kill(first)
resume(service)
expect_answer(send_order(second, "k2", "covers"), 409, "unknown", "a request repeated after a kill")
expect(runs_of("covers") <= 1, "the request ran twice")

-- While the store is down, no request with an idempotency key runs.
set_fault(deployment.store, "down")
expect_answer(send_order(second, "k3", "towels"), 503, "unknown", "a request while the store is down")
expect_equal(runs_of("towels"), 0, "runs of a request while the store is down")

-- If the answer to a write is lost, the daemon reads the claim back to find out whether the write took effect.
set_fault(deployment.store, "lose-answers")
expect_answer(send_order(second, "k4", "blankets"), 200, "run", "a request whose claim write got no answer")
set_fault(deployment.store, "none")
expect_answer(send_order(second, "k4", "blankets"), 200, "run", "the same request again")
expect_equal(runs_of("blankets"), 1, "runs of the request whose claim write got no answer")
expect_answer(send_order(second, "k3", "towels"), 200, "run", "the request refused before")
expect_equal(runs_of("towels"), 1, "runs of the request refused before")
