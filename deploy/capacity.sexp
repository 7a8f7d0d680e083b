; The planned size of the fleet, its budgets, and assumptions about everything that these do not specify.
; `tamarindshore capacity` calculates the tables of docs/CAPACITY.md from this file and the slopes in
; docs/scale/slopes.json. Every key is required; an error about a value names the file, the line and the key.

(capacity
  (fleet                               ; from the requirements
    (managers 5600)
    (servers 24000)
    (services 420)
    (requests-per-second 1400000)      ; at the peak
    (routes 11000)
    (tenants 170000)
    (regions 27)
    (zones 88))

  (budgets                             ; from the requirements; core, memory and bytes are per manager
    (request-tail 5.5ms)               ; 99th percentile of the latency added to a request
    (change-in-force 19s)              ; until a change has taken effect on every manager
    (core 1.1%)
    (memory-mb 256)
    (bytes-per-second 8000))

  (day                                 ; failures, restarts and changes are from the requirements, the rest is assumed
    (failures 34)
    (restarts 2500)                    ; servers restarted or replaced
    (changes 7300)                     ; configuration changes
    (entries-per-failure 2)            ; the server is removed, then added again
    (entries-per-restart 3)            ; the server drains, is removed, then added again
    (entries-per-change 1)
    (busy-hour 25%)                    ; share of the day's changed entries that fall into the busiest hour
    (batch 20))                        ; changed entries that arrive together; batches arrive at random times

  (events
    (region-cut 1h))                   ; from the requirements; falls into the busiest hour

  (control-machines                    ; their number is from the requirements, their size is assumed
    (count 7)
    (cores 16)
    (memory-mb 65536)
    (bytes-per-second 1250000000))     ; 10 Gbit/s

  (managers                            ; assumed, based on the current settings
    (proxies 480)                      ; currently 2,400 on five managers; docs/CAPACITY.md also shows a third and three times this
    (proxy-zones 1)                    ; with 64 managers per zone, each controls its own proxies
    (traffic-groups 3)                 ; traffic classes of the largest current deployment
    (tries-per-request 1.05)
    (report-interval 1s)               ; `periodUs`
    (read-interval 50ms)               ; as in the operator's settings; 0s: data is read as it arrives
    (list-stored yes)                  ; each manager has a store; no: a restarted manager fetches the complete list
    (collectors-per-zone 1)
    (relays-per-zone 1)
    (queue-lines 8600)                 ; `queueCap` of the largest current deployment
    (probe-interval 2s)                ; `unresponsiveAfter` of `balancer/health.go`
    (probe-timeout 600ms)              ; `HealthCheckTimeout` of `internal/config`
    (probes-open 64))                  ; `MaxOpenHealthChecks` of `internal/config`

  (subset                              ; the part of the server list that a manager holds with subsetting
    (home-zones 1)                     ; zones of which all servers are held
    (others 100)                       ; servers from other zones, spread evenly
    (widen-below 70%))                 ; while fewer of the others than this are reachable, the subset is doubled

  (message-bytes                       ; used for messages without a measured slope
    (report 100)
    (usage 60)
    (news 80)
    (list-entry 167)
    (probe 300)                        ; including its response
    (unanswered-probe 74)              ; one SYN on Ethernet: 14 + 20 + 40 bytes
    (heartbeat 20)                     ; per second
    (calls 1000)                       ; per second
    (order 40))                        ; one line or binding within a call

  (judged subset))                     ; whole-list, subset or subset-at-cache: budgets exceeded in this scope cause exit code 3
