; The scale run at the size of the plan with troubles, and changes of configuration at ten
; times the plan's daily rate.
{:workers 2900 :real-workers 24 :per-process 300 :controllers 6
 :zones ["a1" "a2" "a3" "b1" "b2" "b3"] :regions ["a" "a" "a" "b" "b" "b"]
 :teams 110 :running-tasks 18000 :starts-per-s 150 :urgent-per-s 1 :urgent-within-s 1.6
 :changes-per-s 1.03
 :region-delay-ms 15 :loss 0.0002
 :warm-up-s 120 :measure-s 200
 :troubles [{:kind "leader-ends" :at-s 10 :for-s 3}
            {:kind "replacements" :at-s 40 :for-s 60 :count 20}
            {:kind "rack" :at-s 60 :count 40}
            {:kind "zone-cut" :at-s 85 :for-s 15}
            {:kind "leader-ends" :at-s 115 :for-s 0.3}
            {:kind "regions-apart" :at-s 140 :for-s 20}]}
