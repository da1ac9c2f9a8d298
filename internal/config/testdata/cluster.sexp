{:teams
 {"blue" {:cpus 1.5 :cpus-max 2.5 :gpus 3.5 :gpus-max 4.5 :cap :high :draining true}
  "red" {:cpus 5.5 :cpus-max 6.5 :gpus 7.5 :gpus-max 8.5 :cap :low :draining false}}
 :settings {:idle-return-s 9.5 :refusal-pause-s 10.5 :hold-s 11.5 :quarantine-s 12.5 :spare-tasks 13}}
