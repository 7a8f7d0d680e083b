; The operator's settings, which complement the platform's configuration. Every key is optional. The values below are the
; defaults, which also apply without this file. `tamarindshore check deploy/operator.sexp` validates the file.

(tamarindshore
  (cores 1)                ; cores that read connections, beside the one that runs the balancer; 1: one core does everything
  (log
    (level info)           ; debug, info, warn, error
    (form text)))          ; text: key=value pairs; json: one object per line
  ; (admin (socket "/run/tamarindshore/n1.sock"))     ; socket for `tables log`, `tables rollback`, `tables hold` and so on
  ; (store (path "/var/lib/tamarindshore/n1.db"))      ; stored versions survive a crash
  ; (tables (listen "127.0.0.1:9802") (keys "/etc/tamarindshore/keys"))   ; address for replicas of versioned tables
  ; (listen (status "127.0.0.1:9801"))   ; serves GET /status; loopback addresses only
  ; (read-interval 50ms)   ; reads from collectors and the relay are batched at this interval; without it, data is read as it arrives
  ; (subset (spill 100))   ; use all servers in the proxies' zones and about this many from other zones; without it, all servers
