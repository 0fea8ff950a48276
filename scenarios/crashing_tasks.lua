-- Guarantee: a task that crashes the servers that start it is given up, whichever VM coordinates its job.

-- Guards against a task that is started until its caller's deadline, with a crashed server each time.
scenario("a task under which two servers have crashed is given up", function()
  world{vms = 4, domains = 2, servers = 8}
  local job = submit("vm0", {tasks = 1, ms = 100, crashes = 1})
  run(4000)
  check_equal(starts(job), 2)
  when("the second server has restarted, too, so that both have certainly crashed")
  run(600)
  check_equal(starts(job), 2)
  check_equal(outcome(job), "failed")
  check_equal(reason(job), "servers_crashed")
  and_then("other jobs are served")
  local other = submit("vm1", {tasks = 4, ms = 100})
  run(600)
  check_equal(outcome(other), "completed")
  check_promises()
end)

-- Guards against a count that is lost with the VM that coordinates the job: each killed VM would allow more crashes.
scenario("a task stays given up when its job is sent again after its VM was killed", function()
  world{vms = 4, domains = 2, servers = 8}
  local job = submit("vm0", {tasks = 1, ms = 100, crashes = 1})
  run(1500)
  check_equal(starts(job), 2)
  when("its VM is killed after the second start")
  kill("vm0", true)
  run(1300)
  local again = resubmit("vm3", job)
  run(4000)
  check_equal(outcome(again), "failed")
  check_equal(reason(again), "servers_crashed")
  check(starts(job) <= 3, "no more than one start after the kill")
  and_then("and a VM that has started since knows it, too")
  start("vm0")
  run(1000)
  local third = resubmit("vm0", job)
  run(1000)
  check_equal(outcome(third), "failed")
  check_equal(starts(job) <= 3, true)
end)

local function change_all_servers(change)
  for index = 0, 3 do server("s" .. index, change) end
end

local function change_busy_servers(change)
  for index = 0, 3 do
    if busy("s" .. index) then server("s" .. index, change) end
  end
end

-- Guards against jobs that are failed because their servers are cut off: nothing has crashed.
scenario("a task whose servers are cut off is started again and completes", function()
  world{vms = 4, domains = 2, servers = 4}
  local job = submit("vm0", {tasks = 1, ms = 600})
  run(100)
  change_busy_servers("cut")
  run(1200)
  change_busy_servers("cut")
  run(4000)
  check_equal(outcome(job), "completed")
  check_promises()
end)

-- Guards against the same when the cuts reset connections, as a crashed server does.
scenario("a task whose servers are cut off by resets waits until they reply, and completes", function()
  world{vms = 4, domains = 2, servers = 4}
  local job = submit("vm0", {tasks = 1, ms = 600})
  run(100)
  change_busy_servers("reset")
  run(1200)
  check_equal(starts(job), 2)
  change_busy_servers("reset")
  run(1500)
  check_equal(starts(job), 2)
  check_equal(outcome(job), "none")
  when("the servers reply with the same incarnations")
  change_all_servers("normal")
  run(1200)
  check_equal(starts(job), 3)
  check_equal(outcome(job), "completed")
  check_promises()
end)

-- Guards against jobs that are failed because their servers stay cut off: that the platform no longer lists them proves no
-- crash, however long it lasts.
scenario("a task whose servers stay cut off for long waits until they reply, and completes", function()
  world{vms = 4, domains = 2, servers = 4}
  local job = submit("vm0", {tasks = 1, ms = 600, deadline_ms = 60000})
  run(100)
  change_busy_servers("reset")
  run(1200)
  check_equal(starts(job), 2)
  change_busy_servers("reset")
  when("the platform has not listed the servers for over ten seconds")
  run(20000)
  check_equal(outcome(job), "none")
  check_equal(starts(job), 2)
  when("the servers reply with the same incarnations")
  change_all_servers("normal")
  run(3000)
  check_equal(outcome(job), "completed")
  check_promises()
end)

-- Guards against a caller without an answer, and against further crashes, where the servers never come back.
scenario("a task whose servers have crashed for good waits for its deadline", function()
  world{vms = 4, domains = 2, servers = 4}
  local job = submit("vm0", {tasks = 1, ms = 600, deadline_ms = 30000})
  run(100)
  change_busy_servers("crashed")
  run(1200)
  change_busy_servers("crashed")
  run(26000)
  check_equal(outcome(job), "none")
  when("its deadline passes")
  run(4000)
  check_equal(outcome(job), "timed_out")
  check_equal(starts(job), 2)
  check_promises()
end)
