; every key with a value of its own
(capacity
  (fleet (managers 5601) (servers 24002) (services 423) (requests-per-second 1400004.5) (routes 11005) (tenants 170006) (regions 27) (zones 88))
  (budgets (request-tail 5.5ms) (change-in-force 19s) (core 1.25%) (memory-mb 256.5) (bytes-per-second 8001))
  (day (failures 34) (restarts 2501) (changes 7302) (entries-per-failure 2.5) (entries-per-restart 3.25) (entries-per-change 1.125) (busy-hour 25%) (batch 20))
  (events (region-cut 1h30m))
  (control-machines (count 7) (cores 16) (memory-mb 65536.5) (bytes-per-second 1250000001))
  (managers (proxies 481) (proxy-zones 2) (traffic-groups 3) (tries-per-request 1.0625) (report-interval 1100ms) (read-interval 0s) (list-stored yes)
    (collectors-per-zone 4) (relays-per-zone 5) (queue-lines 8601) (probe-interval 2s) (probe-timeout 600ms) (probes-open 64))
  (subset (home-zones 6) (others 101) (widen-below 75%))
  (message-bytes (report 100.5) (usage 61) (news 82) (list-entry 167) (probe 303) (unanswered-probe 74) (heartbeat 20.25) (calls 1004) (order 45))
  (judged subset-at-cache))
