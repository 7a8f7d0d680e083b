; Every setting that an operator may state.
(tamarindshore
  (cores 3)
  (log (level debug) (form json))
  (listen (status "127.0.0.1:9801"))
  (admin (socket "/run/tamarindshore/admin.sock"))
  (tables (listen "10.0.0.1:9802") (keys "/etc/tamarindshore/keys"))
  (store (path "/var/lib/tamarindshore/state.db"))
  (subset (spill 100))
  (read-interval 20ms))
