{:seed 2 :workers 300 :real-workers 3 :per-process 40 :controllers 5 :zones ["z1" "z2"] :regions ["r1" "r2"] :teams 6
 :running-tasks 70 :starts-per-s 8.5 :service-share 0.25 :array-tasks 9 :urgent-per-s 10.5 :urgent-within-s 11.5 :changes-per-s 12.5 :question-storm-per-s 13.5
 :machine-cpus 130.5 :task-cpus 14.5 :warm-up-s 15.5 :measure-s 16.5
 :report-s 17.5 :lease-s 180.5 :cancel-s 19.5
 :state-rps 20.5 :state-write-rps 21.5 :state-value-kb 22.5 :state-txn-ops 23 :cloud-rps 24.5 :cloud-list-lag-s 25.5
 :controller-mem-mb 260.5 :controller-connections 270 :controller-cpu 0.375
 :region-delay-ms 28.5 :zone-delay-ms 29.5 :loss 0.125 :resend-ms 30.5
 :troubles [{:kind "leader-ends" :at-s 31.5 :for-s 32.5 :count 33} {:kind "rack" :at-s 34.5}
            {:kind "zone-cut"} {:kind "regions-apart"} {:kind "replacements"}]}
