-- Guarantee: an evacuated failure domain gets no new work, its runs end by themselves, and jobs go elsewhere.

-- Whether tasks run on any server of d0.
local function d0_busy()
  return busy("s0") or busy("s2") or busy("s4") or busy("s6")
end

-- Guards against work in a domain that operators empty, and against runs that the evacuation stops.
scenario("runs of an evacuated domain end there, new jobs run elsewhere", function()
  world{}
  local before = submit("vm0", {tasks = 12, ms = 900, cores = 30})
  run(200)
  check(busy("s0"), "no run in the domain to begin with")
  evacuate("d0")
  run(100)
  local after = submit("vm0", {tasks = 4, ms = 100, cores = 30})
  run(2500)
  check_equal(outcome(before), "completed")
  check_equal(starts(before), 12)
  check_equal(outcome(after), "completed")
  for number = 1, 8 do
    submit("vm" .. number % 4, {tasks = 2, ms = 400})
    run(100)
    check(not d0_busy(), "a run in the evacuated domain")
  end
  run(3000)
  check_promises()
end)

-- Guards against a VM that keeps starting work because the store turns it away.
scenario("a VM that cannot reach the store learns of an evacuation from another VM", function()
  world{}
  evacuate("d0", "vm3")
  run(400)
  local job = submit("vm0", {tasks = 4, ms = 300, cores = 30})
  run(100)
  check(not d0_busy(), "a run in the evacuated domain")
  run(2000)
  check_equal(outcome(job), "completed")
  and_then("it also learns that the domain is taken back")
  take_back("d0", "vm1")
  run(400)
  submit("vm0", {tasks = 12, ms = 300, cores = 30})
  run(100)
  check(d0_busy(), "no run after the domain was taken back")
  run(2000)
  check_promises()
end)

-- Guards against a VM that starts work in its first moments, before it knows of the evacuation.
scenario("after a loss of all VMs, nothing starts in an evacuated domain", function()
  world{}
  evacuate("d0")
  run(200)
  for number = 0, 3 do kill("vm" .. number, true) end
  run(300)
  for number = 0, 3 do start("vm" .. number) end
  for number = 1, 20 do
    run(100)
    submit("vm" .. number % 4, {tasks = 2, ms = 200})
    check(not d0_busy(), "a run in the evacuated domain")
  end
  run(5000)
  check_promises()
end)

-- Guards against callers that wait to their deadline although nothing can run.
scenario("when all domains are evacuated, callers are refused at once and told when to return", function()
  world{}
  evacuate("d0")
  evacuate("d1")
  run(3000)
  local job = submit("vm0", {tasks = 2, ms = 100})
  run(50)
  check_equal(outcome(job), "refused")
  check_equal(reason(job), "evacuated")
  check_equal(starts(job), 0)
  check(retry_after(job) >= 2900 and retry_after(job) <= 3200, "retry after " .. retry_after(job))
  and_then("jobs run again when one domain is taken back")
  take_back("d1")
  run(300)
  local later = submit("vm0", {tasks = 2, ms = 100})
  run(1000)
  check_equal(outcome(later), "completed")
  check_promises()
end)

-- Guards against a state that flaps back when the changes follow each other quickly.
scenario("a domain that is evacuated three times in a row ends in the last state on all VMs", function()
  world{}
  for number = 1, 3 do
    evacuate("d0", "vm" .. number % 4)
    run(60)
    take_back("d0", "vm" .. (number + 1) % 4)
    run(60)
  end
  evacuate("d0", "vm2")
  run(700)
  local job = submit("vm1", {tasks = 8, ms = 300, cores = 30})
  run(100)
  check(not d0_busy(), "a run in the evacuated domain")
  run(3000)
  check_equal(outcome(job), "completed")
  check_promises()
end)
