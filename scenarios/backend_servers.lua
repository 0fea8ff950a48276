-- Promise: leaving servers get no new work, failing servers are set aside, and refusals never start a task twice.

local function ready(options)
  world(options or {})
  run(2500)
  apply("d1-1", {service = "proofs"})
  run(500)
end

scenario("a leaving server gets no new work after its first signal", function()
  ready{domains = {"d1"}, vms = 1, servers = 3, speeds = {1}}
  server("d1-s2", "leaving")
  submit("d1-1", ids("d1-1")[1], {tasks = 20, ms = 50})
  run(1500)
  local before = server_starts("d1-s2")
  local job = submit("d1-1", ids("d1-1")[1], {tasks = 20, ms = 50})
  run(1500)
  check_equal(outcome(job), "done")
  check_equal(server_starts("d1-s2"), before)
  check_promises()
end)

scenario("a server that refuses or is down costs no job", function()
  ready{domains = {"d1"}, vms = 1, servers = 4, speeds = {1}}
  server("d1-s1", "refuse")
  server("d1-s2", "down")
  for _ = 1, 10 do
    local job = submit("d1-1", ids("d1-1")[1], {tasks = 8, ms = 100})
    run(1000)
    check_equal(outcome(job), "done")
  end
  check_promises()
end)

scenario("a server that fails everything is quarantined within 10 tasks and readmitted when repaired", function()
  given("eight servers with one that fails everything")
  ready{domains = {"d1"}, vms = 1, servers = 8, slots = 4, speeds = {1, 2, 4}}
  for _ = 1, 20 do submit("d1-1", ids("d1-1")[1], {tasks = 6, ms = 100}) run(150) end
  server("d1-s3", "fail_all")
  local before = server_starts("d1-s3")
  for _ = 1, 100 do submit("d1-1", ids("d1-1")[1], {tasks = 6, ms = 100}) run(100) end
  check(server_starts("d1-s3") - before <= 10, "lost " .. server_starts("d1-s3") - before)
  when("it is repaired")
  server("d1-s3", "normal")
  local repaired = server_starts("d1-s3")
  for _ = 1, 600 do submit("d1-1", ids("d1-1")[1], {tasks = 6, ms = 100}) run(100) end
  check(server_starts("d1-s3") - repaired > 50, "readmitted, starts " .. server_starts("d1-s3") - repaired)
  check_promises()
end)

scenario("overload is refused early as not run, with a time to come back", function()
  ready{domains = {"d1"}, vms = 1, servers = 2, slots = 4, speeds = {1}}
  local jobs = {}
  for i, id in ipairs(ids("d1-1", 200)) do jobs[i] = submit("d1-1", id, {tasks = 10, ms = 500, deadline_ms = 5000}) end
  run(100)
  local refused = 0
  for _, job in ipairs(jobs) do
    if outcome(job) == "refused" then
      refused = refused + 1
      check(retry_after(job) > 0, "retry_after is given")
    end
  end
  check(refused > 100, "refused at once: " .. refused)
  run(20000)
  check_promises()
end)

scenario("one of three servers that fails everything is quarantined too", function()
  ready{domains = {"d1"}, vms = 1, servers = 3, slots = 8, speeds = {1}}
  for _ = 1, 20 do submit("d1-1", ids("d1-1")[1], {tasks = 3, ms = 50}) run(100) end
  server("d1-s1", "fail_all")
  local before = server_starts("d1-s1")
  for _ = 1, 60 do submit("d1-1", ids("d1-1")[1], {tasks = 3, ms = 50}) run(100) end
  check(server_starts("d1-s1") - before <= 10, "lost " .. server_starts("d1-s1") - before)
  check_promises()
end)

scenario("a job moves to another domain when its own has no room", function()
  given("a domain whose slots are taken for 3 s")
  ready{domains = {"d1", "d2"}, vms = 1, servers = 4, slots = 8, speeds = {1}}
  submit("d1-1", ids("d1-1")[1], {tasks = 32, ms = 3000})
  run(2500)
  local before = server_starts("d2-s1")
  when("another job arrives there")
  local id = ids("d1-1")[1]
  local job = submit("d1-1", id, {tasks = 10, ms = 100})
  run(400)
  check_equal(outcome(job), "done")
  check(server_starts("d2-s1") > before, "ran in d2")
  and_then("its authority still answers a resubmission")
  local again = submit("d2-1", id, {tasks = 10, ms = 100})
  run(100)
  check_equal(outcome(again), "done")
  check_equal(starts(id), 10)
  run(3000)
  check_promises()
end)

scenario("a job that moved fails at once when the link to its other dispatcher is lost", function()
  ready{domains = {"d1", "d2"}, vms = 1, servers = 4, slots = 8, speeds = {1}}
  submit("d1-1", ids("d1-1")[1], {tasks = 32, ms = 8000})
  run(2500)
  local id = ids("d1-1")[1]
  local job = submit("d1-1", id, {tasks = 10, ms = 5000})
  run(300)
  separate("d2")
  run(2200)
  check_equal(outcome(job), "failed")
  heal()
  run(8000)
  check_equal(starts(id), 10)
  check_promises()
end)
