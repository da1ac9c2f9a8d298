; Serves Nomad's job files and clients beside the native interface.
; See docs/NOMAD.md. Use it with --settings deploy/nomad.sexp.
{;; The highest priority that a team may ask for, in either format; a team that
 ;; is not named may ask for any. Guests, for example, never delay a warning:
 ;;   :priority-caps {"guests" :normal}
 :nomad
 {:listen "127.0.0.1:4646"          ; plain HTTP: keep it on loopback, or behind TLS
  ;; Tokens are kept as keyed hashes only. `aspenstall nomad token FILE` makes
  ;; the key in FILE if there is none, a token, and its hash:
  ;;   :token-key-file "token.key"
  ;;   :tokens {"agro-desk" ["<hash>"]}
  ;;   :agent-tokens ["<hash>"]     ; of machines, which read tasks' descriptions
  :watchers 1000                    ; blocking queries and streams at once
  :connections 1200
  :requests-per-s 50                ; of each team
  :mhz-per-cpu 1000
  :scratch-mb 300
  :gpu-devices ["gpu"]}}
