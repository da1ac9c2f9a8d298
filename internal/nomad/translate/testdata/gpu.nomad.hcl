# One GPU each, on a type that has them.
job "gpu" {
  namespace = "green"
  type      = "batch"
  constraint {
    attribute = "${node.class}"
    value     = "g16"
  }
  group "g" {
    count = 2
    task "t" {
      driver = "docker"
      config { image = "cuda" }
      meta {
        aspenstall_class    = "train"
        aspenstall_image_gb = "4.2"
        aspenstall_expect_s = "25"
      }
      resources {
        cores  = 2
        memory = 8192
        device "gpu" {}
      }
    }
  }
}
