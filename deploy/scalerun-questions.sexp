; One team asks the leader for all versions of its largest job file, 47 times a second, while the others
; work as ever.
{:workers 240 :real-workers 2 :per-process 120 :controllers 3
 :zones ["a1" "a2" "a3"] :regions ["a" "a" "a"]
 :teams 20 :running-tasks 1200 :starts-per-s 15 :urgent-per-s 1 :urgent-within-s 1.6
 :question-storm-per-s 47
 :warm-up-s 45 :measure-s 30}
