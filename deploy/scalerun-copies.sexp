; A small scale run in which a copy of each direct command arrives again, up to 15 s late, while leaders end
; and machines are replaced.
{:workers 240 :real-workers 8 :per-process 60 :controllers 3
 :teams 12 :running-tasks 1500 :starts-per-s 15 :urgent-per-s 1 :urgent-within-s 1.6
 :changes-per-s 0.1 :region-delay-ms 15 :loss 0.0002
 :warm-up-s 40 :measure-s 110
 :troubles [{:kind "command-copies" :at-s 2 :for-s 90}
            {:kind "leader-ends" :at-s 30 :for-s 0.3}
            {:kind "replacements" :at-s 45 :for-s 30 :count 10}
            {:kind "leader-ends" :at-s 80 :for-s 1}]}
