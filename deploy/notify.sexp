; Tells receivers of jobs that are accepted, done or cancelled, once each.
; See docs/NOTIFICATIONS.md. Use it with --settings deploy/notify.sexp.
{:notify
 {:listen "127.0.0.1:4650"                     ; for `aspenstall notify`
  :receivers
  {"desk" {:url "http://127.0.0.1:9080/hook"   ; https, with :ca-file and :cert-file, beyond this machine
           :keeps-keys true                    ; it knows the keys that it has seen
           ;; :secret-files ["desk.secret"]    ; signs; two while one is replaced
           :per-s 50 :in-flight 4 :timeout-s 10}}
  :subscriptions
  {"desk-done" {:receiver "desk" :events [:done :cancelled] :deadline-s 86400}}}}
