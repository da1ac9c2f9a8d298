; Quotas and settings over the platform's file; see docs/CONFIGURATION.md. Make it the
; configuration with: aspenstall config apply --config platform.json deploy/config.sexp
{:teams
 {"climate-archive" {:cpus 100 :cpus-max 400}          ; within the platform's limits
  "visitors" {:cpus-max 32 :cap :low}}                 ; a team that the platform does not name
 :settings
 {:idle-return-s 20}}
