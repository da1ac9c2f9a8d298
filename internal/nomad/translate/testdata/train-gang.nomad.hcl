# A gang in one zone that saves every five seconds.
job "train" {
  namespace = "blue"
  type      = "batch"
  priority  = 80
  meta {
    aspenstall_class             = "train"
    aspenstall_gang              = "true"
    aspenstall_one_zone          = "true"
    aspenstall_spot              = "true"
    aspenstall_expect_s          = "40"
    aspenstall_checkpoint_s      = "5"
    aspenstall_checkpoint_cost_s = "1"
  }
  group "ranks" {
    count = 4
    restart { mode = "delay" }
    reschedule { unlimited = true }
    task "rank" {
      driver       = "exec"
      kill_timeout = "1s"
      meta {
        aspenstall_image    = "train-3"
        aspenstall_image_gb = "1"
      }
      config { command = "/bin/train" }
      resources {
        cores  = 4
        memory = 4096
      }
    }
  }
}
