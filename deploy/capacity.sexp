; The size that is planned for, its budgets, and what is assumed where neither says enough. `tamarindshore capacity`
; works the tables of docs/CAPACITY.md out from this file and the slopes in docs/scale/slopes.json. Each key has to be
; there; a value out of range ends the command with file, line and key.

(capacity
  (fleet                               ; given
    (managers 5600)
    (servers 24000)
    (services 420)
    (requests-per-second 1400000)      ; at the peak
    (routes 11000)
    (tenants 170000)
    (regions 27)
    (zones 88))

  (budgets                             ; given; core, memory and bytes are one manager's
    (request-tail 5.5ms)               ; added to a request, 99 in 100
    (change-in-force 19s)              ; until a change is in force everywhere
    (core 1.1%)
    (memory-mb 256)
    (bytes-per-second 8000))

  (day                                 ; failures, restarts and changes are given, the rest is assumed
    (failures 34)
    (restarts 2500)                    ; restarted or replaced
    (changes 7300)                     ; of configuration
    (entries-per-failure 2)            ; removed, up again
    (entries-per-restart 3)            ; draining, removed, up again
    (entries-per-change 1)
    (busy-hour 25%)                    ; of the day's changed entries
    (batch 20))                        ; changed entries that come together, batches at random

  (events
    (region-cut 1h))                   ; given; within the busiest hour

  (control-machines                    ; their number is given, their size is assumed
    (count 7)
    (cores 16)
    (memory-mb 65536)
    (bytes-per-second 1250000000))     ; 10 Gbit/s

  (managers                            ; assumed, from today's settings
    (proxies 480)                      ; today 2,400 before five managers; shown also at a third and at three times
    (proxy-zones 1)                    ; 64 managers a zone: each steers proxies of its own
    (traffic-groups 3)                 ; classes of today's largest deployment
    (tries-per-request 1.05)
    (report-interval 1s)               ; `periodUs`
    (read-interval 50ms)               ; of the operator's settings; 0s: each read is made at once
    (list-stored yes)                  ; each manager has a store; no: a restart takes the whole list
    (collectors-per-zone 1)
    (relays-per-zone 1)
    (queue-lines 8600)                 ; `queueCap` of today's largest deployment
    (probe-interval 2s)                ; `unresponsiveAfter` of `balancer/health.go`
    (probe-timeout 600ms)              ; `HealthCheckTimeout` of `internal/config`
    (probes-open 64))                  ; `MaxOpenHealthChecks` of `internal/config`

  (subset                              ; what a manager holds where the list is divided
    (home-zones 1)                     ; whole
    (others 100)                       ; of other zones, spread evenly
    (widen-below 70%))                 ; of the others: with fewer in reach the subset doubles

  (message-bytes                       ; stand in where the slopes do not tell
    (report 100)
    (usage 60)
    (news 80)
    (list-entry 167)
    (probe 300)                        ; with its answer
    (unanswered-probe 74)              ; one SYN on Ethernet: 14 + 20 + 40 bytes
    (heartbeat 20)                     ; a second's
    (calls 1000)                       ; a second's
    (order 40))                        ; one line or binding within a call

  (judged subset))                     ; whole-list, subset or subset-at-cache: whose passed budgets end in exit 3
