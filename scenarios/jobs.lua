-- Promise: every caller receives the whole answer to its own request, and no task starts twice.

local function ready(options)
  world(options or {})
  run(2500)
  apply("d1-1", {service = "proofs", placement = options and options.placement})
  run(500)
end

scenario("a job is answered completely at every VM", function()
  given("two failure domains with two VMs each")
  ready()
  for _, vm in ipairs{"d1-1", "d1-2", "d2-1", "d2-2"} do
    when("a job arrives at " .. vm)
    local id = ids(vm)[1]
    local job = submit(vm, id, {tasks = 10, ms = 100})
    run(2000)
    and_then("its answer is complete")
    check_equal(outcome(job), "done")
    check_equal(starts(id), 10)
  end
  check_promises()
end)

scenario("a resubmission joins the job in flight, whichever VM it reaches", function()
  ready()
  local id = ids("d1-2")[1]
  local job = {tasks = 5, ms = 400}
  local first = submit("d1-2", id, job)
  run(100)
  when("the caller loses patience and resubmits everywhere")
  local again = {submit("d1-1", id, job), submit("d2-1", id, job), submit("d2-2", id, job)}
  run(3000)
  and_then("all get the same answer and nothing has started twice")
  check_equal(outcome(first), "done")
  for _, other in ipairs(again) do check_equal(outcome(other), "done") end
  check_equal(starts(id), 5)
  check_promises()
end)

scenario("a resubmission after the end gets the stored answer", function()
  ready()
  local id = ids("d1-1")[1]
  submit("d1-1", id, {tasks = 3, ms = 50})
  run(1000)
  local again = submit("d2-2", id, {tasks = 3, ms = 50})
  run(100)
  check_equal(outcome(again), "done")
  check_equal(starts(id), 3)
  check_promises()
end)

scenario("an id used with another document is refused and the first job goes on", function()
  ready()
  local id = ids("d1-1")[1]
  local first = submit("d1-1", id, {tasks = 3, ms = 100})
  local other = submit("d1-2", id, {tasks = 4, ms = 100})
  run(1500)
  check_equal(outcome(first), "done")
  check_equal(outcome(other), "refused")
  check_equal(reason(other), "id_reused")
  check_equal(starts(id), 3)
end)

scenario("an id whose record has expired is not run again", function()
  given("a job that ended more than the retention ago")
  ready()
  local id = ids("d1-1")[1]
  submit("d1-1", id, {tasks = 2, ms = 50})
  run(1000)
  run(1300 * 1000)
  when("its caller comes back")
  local again = submit("d1-2", id, {tasks = 2, ms = 50})
  run(1000)
  check_equal(outcome(again), "unknown")
  check_equal(reason(again), "record_expired")
  check_equal(starts(id), 2)
end)

scenario("a lost task fails its job at once and the rest is stopped", function()
  given("one server of two that fails everything")
  ready{domains = {"d1"}, vms = 1, servers = 2, speeds = {1}}
  server("d1-s1", "fail_all")
  local job = submit("d1-1", ids("d1-1")[1], {tasks = 12, ms = 1000})
  run(100)
  check_equal(outcome(job), "failed")
  check(took(job) < 50, "the failure is answered at once")
  run(3000)
  check_promises()
end)

scenario("a job that no server can run is refused with the reason", function()
  ready()
  local job = submit("d1-1", ids("d1-1")[1], {tasks = 2, ms = 50, cores = 500})
  run(200)
  check_equal(outcome(job), "refused")
  check_equal(reason(job), "no_fit_server")
  check_equal(retry_after(job), 0)
  check_promises()
end)

scenario("a job without an id is only taken when it is repeatable", function()
  ready()
  local plate = submit("d1-1", "", {tasks = 1, ms = 50, repeatable = false})
  local proof = submit("d1-2", "", {tasks = 1, ms = 50, repeatable = true})
  run(1000)
  check_equal(outcome(plate), "refused")
  check_equal(reason(plate), "id_required")
  check_equal(outcome(proof), "done")
  check_promises()
end)

scenario("a wave of cancellations empties the queue and disturbs nobody", function()
  given("a service that queues jobs up to their deadline")
  ready{domains = {"d1"}, vms = 1, servers = 2, slots = 4, speeds = {1}, placement = "messages"}
  local numbers, jobs = ids("d1-1", 200), {}
  for i, id in ipairs(numbers) do jobs[i] = submit("d1-1", id, {tasks = 5, ms = 200, deadline_ms = 60000}) end
  run(50)
  when("all but the last are cancelled")
  for i = 1, 199 do cancel("d1-1", numbers[i]) end
  run(1500)
  check_equal(outcome(jobs[200]), "done")
  for i = 1, 199 do check(outcome(jobs[i]) == "failed" or outcome(jobs[i]) == "refused", outcome(jobs[i])) end
  check_promises()
end)
