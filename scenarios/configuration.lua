-- Promise: no VM goes back to an older configuration, and one that cannot read the store learns of the newest.

scenario("a configuration travels to VMs that do not read it themselves", function()
  world{}
  configure("vm0", 7)
  run(500)
  for number = 1, 3 do
    check_equal(version("vm" .. number), 7)
  end
end)

scenario("an older configuration does not replace a newer one", function()
  world{}
  configure("vm0", 7)
  run(500)
  configure("vm2", 5)
  run(500)
  for number = 0, 3 do
    check_equal(version("vm" .. number), 7)
  end
end)

scenario("a VM that starts with an old configuration gets the newest from the others", function()
  world{}
  configure("vm0", 9)
  run(500)
  kill("vm3")
  run(300)
  start("vm3")
  run(1500)
  check_equal(version("vm3"), 9)
end)

scenario("jobs in hand are not touched by a new configuration", function()
  world{}
  local job = submit("vm1", {tasks = 3, ms = 800})
  run(200)
  configure("vm0", 3)
  run(3000)
  check_equal(outcome(job), "completed")
  check_equal(starts(job), 3)
  check_promises()
end)

scenario("the sides of a partition agree on the newest configuration afterwards", function()
  world{}
  cut("d1")
  run(1500)
  configure("vm0", 4)
  configure("vm1", 6)
  run(1000)
  check_equal(version("vm2"), 4)
  check_equal(version("vm3"), 6)
  heal()
  run(3000)
  for number = 0, 3 do
    check_equal(version("vm" .. number), 6)
  end
end)
