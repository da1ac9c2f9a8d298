; The scale run at the size of the plan (docs/CAPACITY.md): what it does not name keeps its
; default. Run it with: go run ./cmd/scalerun run deploy/scalerun.sexp
{:workers 2900 :real-workers 24 :per-process 300 :controllers 3
 :zones ["a1" "a2" "a3" "b1" "b2" "b3"] :regions ["a" "a" "a" "b" "b" "b"]
 :teams 110 :running-tasks 19000 :starts-per-s 150 :urgent-per-s 1 :urgent-within-s 1.6
 :changes-per-s 0.103
 :region-delay-ms 15 :loss 0.0002
 :warm-up-s 120 :measure-s 90}
