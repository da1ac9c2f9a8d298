# Perturbed members of the frost forecast, on cheap machines, due in two minutes.
job "frost-ensemble" {
  namespace   = "blue"
  datacenters = ["*"]
  type        = "batch"
  meta {
    aspenstall_class    = "sweep"
    aspenstall_spot     = "true"
    aspenstall_expect_s = "20"
    aspenstall_due_s    = "120"
  }
  group "members" {
    count = 6
    task "step" {
      driver = "docker"
      config { image = "frost-7" }
      meta { aspenstall_image_gb = "1.8" }
      resources {
        cores  = 2
        memory = 6144
      }
    }
  }
}
