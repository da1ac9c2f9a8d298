# Takes what nobody else wants.
job "archive" {
  namespace   = "blue"
  datacenters = ["?"]
  type        = "batch"
  priority    = 1
  group "g" {
    count = 40
    task "t" {
      driver = "docker"
      config { image = "archive" }
      meta {
        aspenstall_class    = "sweep"
        aspenstall_image_gb = "0.1"
        aspenstall_expect_s = "15"
        aspenstall_spot     = "true"
      }
      resources {
        cpu    = 1500
        memory = 1024
      }
      logs { max_files = 2 }
    }
  }
}
