-- Promise: domains that share a dispatcher serve all jobs together, and what they can when they are separated.

local function ready(options)
  options = options or {domains = {"d1", "d2", "d3"}}
  options.one_dispatcher = true
  world(options)
  run(2500)
  apply("d1-1", {service = "proofs"})
  run(500)
end

scenario("one dispatcher uses the servers of all its domains", function()
  ready()
  check(is_dispatcher("d1-1"))
  check(not is_dispatcher("d2-1"))
  local id = ids("d3-2")[1]
  local job = submit("d3-2", id, {tasks = 90, ms = 200})
  run(1500)
  check_equal(outcome(job), "done")
  for _, domain in ipairs{"d1", "d2", "d3"} do
    check(server_starts(domain .. "-s1") + server_starts(domain .. "-s2") + server_starts(domain .. "-s3") > 0, domain)
  end
  check_promises()
end)

scenario("a domain that is separated gets its own dispatcher and serves with its own servers", function()
  ready()
  separate("d2", true)
  run(3000)
  check(is_dispatcher("d1-1"))
  check(is_dispatcher("d2-1"))
  when("jobs arrive on both sides")
  for round = 1, 5 do
    local inside = submit("d2-2", ids("d2-2")[1], {tasks = 10, ms = 100})
    local rest = submit("d3-1", ids("d3-1")[1], {tasks = 10, ms = 100})
    run(3000)
    check_equal(outcome(inside), "done")
    check_equal(outcome(rest), "done")
  end
  and_then("servers on the other side cost nobody time once they are known to be cut off")
  local quick = submit("d2-1", ids("d2-1")[1], {tasks = 10, ms = 100})
  run(1000)
  check_equal(outcome(quick), "done")
  check(took(quick) < 400, "took " .. took(quick))
  when("the partition heals")
  heal()
  run(8000)
  check(is_dispatcher("d1-1"))
  check(not is_dispatcher("d2-1"))
  local job = submit("d2-1", ids("d2-1")[1], {tasks = 90, ms = 100})
  run(2000)
  check_equal(outcome(job), "done")
  check_promises()
end)

scenario("the shared dispatcher dies", function()
  ready()
  kill("d1-1")
  run(100)
  local job = submit("d2-2", ids("d2-2")[1], {tasks = 10, ms = 100})
  run(3000)
  check_equal(outcome(job), "done")
  local dispatchers = 0
  for _, vm in ipairs{"d1-2", "d2-1", "d2-2", "d3-1", "d3-2"} do
    if is_dispatcher(vm) then dispatchers = dispatchers + 1 end
  end
  check_equal(dispatchers, 1)
  check_promises()
end)
