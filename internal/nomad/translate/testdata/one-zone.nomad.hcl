job "near-the-sea" {
  namespace   = "blue"
  datacenters = ["b"]
  type        = "batch"
  group "g" {
    count = 3
    task "t" {
      driver = "docker"
      config { image = "tide" }
      meta {
        aspenstall_class    = "sweep"
        aspenstall_image_gb = "1"
        aspenstall_expect_s = "20"
      }
      resources { cores = 1 }
    }
  }
}
