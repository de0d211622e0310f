-- An order with an idempotency key runs once, whichever daemon it is sent to, and whatever becomes of the store and of its caller.

local site = a_small_site()
local service = start_service("orders")
put_service("orders1", service, "a", "orders")
put{kind = "route", name = "orders", pathPrefix = "/orders", service = "orders"}
local first = start_daemon("a1", "a")
local second = start_daemon("b1", "b")
eventually_serves(first, site.key)
eventually_serves(second, site.key)

local function order(daemon, idempotency_key, text)
    return ask(daemon, site.key, {method = "POST", path = "/orders", body = text, headers = {["Idempotency-Key"] = idempotency_key}})
end

local function expect_answer(answer, status, outcome, what)
    expect_equal(answer.status, status, "status of " .. what)
    expect_equal(answer.headers["Cowsliphead-Outcome"], outcome, "outcome of " .. what)
end

local function runs_of(text)
    local answer = ask(service, nil, {path = "/standin/runs"})
    return tonumber(answer.body:match('"' .. text .. '":(%d+)') or "0")
end

-- The same key gets the same answer at the same daemon, and at another one once the end is written.
local answer = order(first, "k1", "sheets")
expect_answer(answer, 200, "run", "the first order")
expect_equal(order(first, "k1", "sheets").body, answer.body, "the answer given again")
eventually("the answer is given again elsewhere", function() return order(second, "k1", "sheets").body == answer.body end)
expect_equal(runs_of("sheets"), 1, "runs of the first order")
expect_answer(order(second, "k1", "pillows"), 422, "not-run", "another order under the same key")
expect_equal(runs_of("pillows"), 0, "runs of the other order")

-- What the store holds of claims.
local function claims()
    return ask(site.store, nil, {path = "/v1/list", json = {prefix = "claim", after = "", limit = 1000}}).body
end

-- A key whose daemon died while its order was under way is never said not to have run. Whether the order holds the key is seen in
-- the store: asking with the same key could win it for the second daemon.
pause(service)
local before = claims()
local lost = ask_later(first, site.key, {method = "POST", path = "/orders", body = "covers", headers = {["Idempotency-Key"] = "k2"}})
eventually("the order holds the key", function() return claims() ~= before end)
expect_answer(order(second, "k2", "covers"), 409, "unknown", "an order sent again while it is under way")
kill(first)
resume(service)
expect_answer(order(second, "k2", "covers"), 409, "unknown", "an order sent again after a kill")
expect(runs_of("covers") <= 1, "the order ran twice")

-- While the store cannot be asked nothing with a key runs.
set_store_fault(site.store, "down")
expect_answer(order(second, "k3", "towels"), 503, "unknown", "an order without the store")
expect_equal(runs_of("towels"), 0, "runs of an order without the store")

-- A write whose answer was lost is settled by reading back.
set_store_fault(site.store, "lose-answers")
expect_answer(order(second, "k4", "blankets"), 200, "run", "an order whose claim's answer was lost")
set_store_fault(site.store, "none")
expect_answer(order(second, "k4", "blankets"), 200, "run", "the same order again")
expect_equal(runs_of("blankets"), 1, "runs of the settled order")
expect_answer(order(second, "k3", "towels"), 200, "run", "the order refused before")
expect_equal(runs_of("towels"), 1, "runs of the order refused before")
