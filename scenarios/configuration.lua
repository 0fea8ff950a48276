-- Guarantee: no VM returns to an older configuration, and a VM that cannot read the store receives the newest one.

-- Guards against VMs that keep an old configuration because they cannot read the store.
scenario("a VM that has read a new configuration passes it on to the others", function()
  world{}
  configure("vm0", 7)
  run(500)
  for number = 1, 3 do
    check_equal(version("vm" .. number), 7)
  end
end)

-- Guards against a VM that reads an outdated copy of the store and takes the fleet back to it.
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

-- Guards against a restarted VM that keeps the configuration which it read at its start.
scenario("a VM that starts with an old configuration receives the newest one from the others", function()
  world{}
  configure("vm0", 9)
  run(500)
  kill("vm3")
  run(300)
  start("vm3")
  run(1500)
  check_equal(version("vm3"), 9)
end)

-- Guards against jobs that are ended or started again when the configuration changes.
scenario("a new configuration does not affect jobs that are running", function()
  world{}
  local job = submit("vm1", {tasks = 3, ms = 800})
  run(200)
  configure("vm0", 3)
  run(3000)
  check_equal(outcome(job), "completed")
  check_equal(starts(job), 3)
  check_promises()
end)

-- Guards against configurations that differ for good after each side of a partition has read one of its own.
scenario("after a partition, both sides use the newer of their configurations", function()
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
