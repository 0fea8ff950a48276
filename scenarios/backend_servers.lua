-- Guarantee: a server that crashes, hangs, fails or becomes slow costs no job that another server could run.

-- Guards against jobs that wait for runs which ended with a crashed server.
scenario("when servers crash, their runs are placed on other servers", function()
  world{}
  local job = submit("vm0", {tasks = 8, ms = 700, cores = 30})
  run(200)
  server("s0", "crashed")
  server("s1", "crashed")
  run(5000)
  check_equal(outcome(job), "completed")
  check(starts(job) > 8)
  check_promises()
end)

-- Guards against two runs of a task: a server that is cut off keeps running its tasks until its lease ends.
scenario("runs of a server that is cut off are placed elsewhere only after its lease has ended", function()
  world{servers = 2}
  local job = submit("vm0", {tasks = 4, ms = 2500, cores = 30})
  run(300)
  server("s0", "cut")
  run(12000)
  check_equal(outcome(job), "completed")
  check_promises()
end)

-- Guards against jobs that wait for runs which a server lost by restarting within its lease.
scenario("runs that a restarted server has lost are placed again", function()
  world{servers = 2}
  local job = submit("vm0", {tasks = 4, ms = 1500, cores = 30})
  run(300)
  server("s0", "crashed")
  run(50)
  server("s0", "started")
  run(8000)
  check_equal(outcome(job), "completed")
  check_promises()
end)

-- Guards against jobs that fail because each of their attempts is placed on the same failing server.
scenario("a server that fails every task does not use up a job's attempts", function()
  given("four servers, one of which fails every task")
  world{servers = 4}
  server("s0", "failing")
  local failed = 0
  for number = 1, 12 do
    local job = submit("vm" .. number % 4, {tasks = 2, ms = 100})
    run(400)
    if outcome(job) ~= "completed" then
      failed = failed + 1
    end
  end
  check(failed <= 1, failed .. " jobs not completed")
  check_promises()
end)

-- Guards against jobs that wait for tasks which hang on a server that still answers.
scenario("a task on a server that hangs is stopped and run elsewhere", function()
  world{servers = 4}
  server("s0", "hanging")
  server("s1", "hanging")
  local job = submit("vm0", {tasks = 6, ms = 150, cores = 30})
  run(6000)
  check_equal(outcome(job), "completed")
  check_promises()
end)

-- Guards against late jobs: after ten jobs, the placement has to know which server is slow.
scenario("a slow server gets work only when no other server has free capacity", function()
  given("a server that earlier jobs have shown to be slow")
  world{servers = 4}
  server("s3", "slow")
  for number = 1, 10 do
    submit("vm0", {tasks = 4, ms = 100, cores = 30})
    run(700)
  end
  local job = submit("vm1", {tasks = 2, ms = 200})
  run(1500)
  check_equal(outcome(job), "completed")
  check(took(job) < 500, "took " .. took(job))
  check_promises()
end)

-- Guards against jobs without an answer, and against a fleet that does not find its servers after an outage.
scenario("jobs are refused while all servers are down, and completed once the servers are back", function()
  world{servers = 2}
  server("s0", "crashed")
  server("s1", "crashed")
  run(1500)
  local job = submit("vm0", {ms = 100, deadline_ms = 1500})
  run(2500)
  check_equal(outcome(job), "refused")
  server("s0", "started")
  server("s1", "started")
  run(2500)
  local after = submit("vm0", {tasks = 2, ms = 100})
  run(1500)
  check_equal(outcome(after), "completed")
  check_promises()
end)
