# Two groups are two native jobs.
job "passages" {
  namespace = "blue"
  type      = "batch"
  meta { aspenstall_class = "sweep" }
  group "gantries" {
    count = 5
    task "sum" {
      driver = "docker"
      config { image = "sum" }
      meta {
        aspenstall_image_gb = "0.5"
        aspenstall_expect_s = "12.5"
      }
    }
  }
  group "statements" {
    meta { aspenstall_due_s = "300" }
    task "print" {
      driver = "docker"
      config { image = "print" }
      meta {
        aspenstall_image_gb = "0.25"
        aspenstall_expect_s = "30"
      }
      resources { cpu = 500 }
    }
  }
}
