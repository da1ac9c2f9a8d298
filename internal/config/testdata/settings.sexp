{:leader-lease-s 1.5 :answer-grace-s 2.5 :idle-return-s 3.5 :refusal-pause-s 4.5 :hold-s 5.5
 :quarantine-s 6.5 :suspect-s 7.5 :spare-tasks 8 :list-every-s 9.5
 :priority-caps {"blue" :low "green" :normal "red" :high "white" :production}
 :nomad
 {:listen "127.0.0.1:10" :token-key-file "key"
  :tokens {"blue" ["0101010101010101010101010101010101010101010101010101010101010101"]}
  :agent-tokens ["0202020202020202020202020202020202020202020202020202020202020202"]
  :watchers 11 :connections 12 :requests-per-s 13 :mhz-per-cpu 14 :scratch-mb 15 :gpu-devices ["nvidia/gpu"]}
 :notify
 {:listen "127.0.0.1:16"
  :receivers
  {"desk" {:url "http://h/17" :keeps-keys true :ask-url "http://h/18" :max-age-s 19.5 :per-s 20.5 :in-flight 21 :timeout-s 22.5
           :secret-files ["key" "key2"] :body-file "body" :content-type "text/plain"
           :ca-file "ca.pem" :cert-file "cert.pem" :key-file "key.pem"}}
  :subscriptions
  {"s1" {:team "blue" :class "train" :receiver "desk" :events [:accepted :done :cancelled] :promise :exactly :deadline-s 23.5}
   "s2" {:receiver "desk" :events [:done] :promise :at-least}
   "s3" {:receiver "desk" :events [:cancelled] :promise :at-most}}}}
