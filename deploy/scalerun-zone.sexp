; The scale run at the size of the plan: all machines of a zone stop at once.
{:workers 2900 :real-workers 24 :per-process 300 :controllers 3
 :teams 110 :running-tasks 17000 :starts-per-s 130 :urgent-per-s 1 :urgent-within-s 1.6
 :changes-per-s 0.103 :region-delay-ms 15 :loss 0.0002
 :warm-up-s 110 :measure-s 80
 :troubles [{:kind "rack" :at-s 10 :count 483}]}
