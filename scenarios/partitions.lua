-- Guarantee: separated failure domains serve the jobs that they can, and no task has two runs at a time.

-- Guards against callers that get no service because their domain has lost the placer.
scenario("both sides of a partition serve their callers with their own servers", function()
  given("two domains with two VMs each")
  world{}
  when("d1 is cut off")
  cut("d1")
  run(1500)
  local inside = submit("vm1", {tasks = 2, ms = 100})
  local outside = submit("vm0", {tasks = 2, ms = 100})
  run(1500)
  check_equal(outcome(inside), "completed")
  check_equal(outcome(outside), "completed")
  check(placing("vm1"))
  check(placing("vm0"))
  check_promises()
end)

-- Guards against two placers that persist, and servers that stay without an owner, once a partition has healed.
scenario("after a partition, there is one placer and every server has an owner", function()
  world{}
  cut("d1")
  run(2000)
  heal()
  run(3000)
  check(placing("vm0"))
  check(not placing("vm1"))
  for number = 0, 7 do
    check(owner("s" .. number) ~= "", "s" .. number .. " has no owner")
  end
  local job = submit("vm3", {tasks = 6, ms = 100})
  run(1500)
  check_equal(outcome(job), "completed")
  check_promises()
end)

-- Guards against two runs of a task: the servers beyond the partition keep running it until their lease ends.
scenario("runs on the other side of a partition end before they are placed again", function()
  given("a job on servers of both domains")
  world{servers = 4}
  local job = submit("vm0", {tasks = 6, ms = 2500, cores = 30})
  run(300)
  check_equal(running(job), 6)
  cut("d1")
  run(12000)
  check(outcome(job) ~= "none")
  check_promises()
  heal()
  run(3000)
  check_promises()
end)

-- Guards against a server that changes its owner all the time: each VM assumes that the other one is lost.
scenario("two VMs that are cut off from each other, but not from a third, do not order a server in turn", function()
  world{vms = 3, domains = 1}
  cut_link("vm0", "vm1")
  cut_link("vm1", "vm0")
  run(1500)
  local job = submit("vm2", {tasks = 4, ms = 300})
  run(4000)
  check(outcome(job) ~= "none")
  check_promises()
  heal()
  run(3000)
  local after = submit("vm2", {tasks = 4, ms = 100})
  run(1500)
  check_equal(outcome(after), "completed")
  check_promises()
end)

-- Guards against two runs of a task when a VM receives messages from a VM that does not receive its own.
scenario("a link that is cut in one direction causes no violation", function()
  world{vms = 3, domains = 1}
  local job = submit("vm1", {tasks = 4, ms = 1500})
  run(200)
  cut_link("vm1", "vm0")
  run(6000)
  heal()
  run(3000)
  check(outcome(job) ~= "none")
  check_promises()
end)

-- Guards against runs that are ended or repeated because a closed connection is taken for the loss of a VM.
scenario("runs continue when connections are reset", function()
  world{}
  local job = submit("vm1", {tasks = 4, ms = 1200})
  run(200)
  reset("vm0", "vm1")
  reset("vm1", "vm2")
  reset("vm1", "vm3")
  run(4000)
  check_equal(outcome(job), "completed")
  check_equal(starts(job), 4)
  check_promises()
end)
