; The operator's own settings, beside what the platform tells. Each key may be left out; what stands here are the
; defaults, under which the manager is as without this file. `tamarindshore check deploy/operator.sexp` checks it.

(tamarindshore
  (cores 1)                ; that take in, beside the one that decides; 1: one does all
  (log
    (level info)           ; debug, info, warn, error
    (form text)))          ; text: key=value; json: one object a line
  ; (admin (socket "/run/tamarindshore/n1.sock"))     ; tables log, rollback, hold ...
  ; (store (path "/var/lib/tamarindshore/n1.db"))      ; versions survive a crash
  ; (tables (listen "127.0.0.1:9802") (keys "/etc/tamarindshore/keys"))   ; holders of versioned tables
  ; (listen (status "127.0.0.1:9801"))   ; GET /status, on loopback only
  ; (read-interval 50ms)   ; read what collectors and the relay tell together, so often; without: each as it comes
  ; (subset (spill 100))   ; use all servers of the proxies' zones and about so many of the others; without: all
